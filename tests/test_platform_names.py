"""The platform's names stay in its adapter; imports go one way."""

import ast
import json
import pathlib
import re

import msgspec
import pytest

from oleanderwood.jobs import model
from tests import utils_jobs as build

PACKAGE = pathlib.Path(__file__).parent.parent / 'oleanderwood'

WIRE_NAMES = (
    'kv-',
    'run-start',
    'run-stop',
    'machine-move',
    'machine-upkeep',
    'last_seen',
    'cold_left_ms',
    'may_have_run',
    'allow_stale',
    'precondition',
    'max_per_server',
    'deadline_ms',
    'op/config',
    'op/wave',
    'servers/',
    'Duty-Holder',
    'Fencing-Token',
    'duty-holder',
    'fencing-token',
    'expect-instance',
)

FIELD_NAMES = {
    'may_miss',
    'estimate_ms',
    'long_running',
    'same_rack',
    'interval_ms',
    'max_attempts',
    'clock_ms',
    'wait_ms',
    'required_label',
    'remote_factor',
    'repeat_count',
    'start_time_ms',
    'target_ms',
    'mem_mb',
    'decide_ms',
    'period_ms',
    'valid_ms',
    'remaining_ms',
    'current_rev',
    'has_more',
    'ttl_ms',
    'max_count',
    'max_hold_ms',
    'stop_ms',
    'page_token',
    'next_token',
    'target_duration_ms',
    'admission_check',
    'api_keys',
}
"""Fields of the wire, as whole words: ours may contain one."""

STORED = PACKAGE / 'jobs' / 'stored.py'
"""Says which fields keep such a name in the store."""

STORED_NAMES = {
    'may_miss',
    'estimate_ms',
    'long_running',
    'same_rack',
    'interval_ms',
    'max_attempts',
}

SOURCES = sorted(
    path
    for path in PACKAGE.rglob('*.py')
    if path.relative_to(PACKAGE).parts[0] != 'platform'
)

LAYERS = {
    'tenants': (),
    'jobs': ('tenants',),
    'pools': ('tenants', 'jobs'),
    'admission': ('tenants', 'jobs', 'pools'),
    'maintenance': ('tenants', 'jobs', 'pools'),
    'capacity': ('tenants', 'jobs', 'pools'),
    'platform': ('tenants', 'jobs', 'pools', 'maintenance'),
    'leading': (
        'tenants',
        'jobs',
        'pools',
        'admission',
        'capacity',
        'maintenance',
        'platform',
    ),
    'frontend': (
        'tenants',
        'jobs',
        'pools',
        'admission',
        'platform',
        'leading',
    ),
}
"""What each subpackage may import of the others."""

CYCLE = {('jobs', 'pools')}
"""The ledger reads reports; reports name what jobs need."""


def _strings(path):
    tree = ast.parse(path.read_text())
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and isinstance(node.value, str):
            yield node.value
        elif isinstance(node, ast.Name):
            yield node.id
        elif isinstance(node, ast.Attribute):
            yield node.attr
        elif isinstance(node, ast.arg | ast.keyword):
            yield node.arg or ''
        elif isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            yield node.name


def _fields(path):
    """Give the wire's fields that a file names."""
    words = re.findall(r'\w+', ' '.join(_strings(path)))
    return FIELD_NAMES.intersection(words)


@pytest.mark.parametrize('path', SOURCES, ids=lambda path: path.name)
def test_no_name_of_the_wire_stands_outside_the_adapter(path):
    for text in _strings(path):
        for name in WIRE_NAMES:
            assert name not in text, f'{path}: {name} in {text[:60]!r}'


@pytest.mark.parametrize('path', SOURCES, ids=lambda path: path.name)
def test_no_field_of_the_wire_stands_outside_the_adapter(path):
    kept = STORED_NAMES if path == STORED else set()
    assert _fields(path) == kept, path


def test_stored_jobs_keep_the_names_of_earlier_versions():
    """Servers of two versions read each other's jobs."""
    lasting = build.step(
        is_long_running=True, max_unavailable=2, one_rack=True
    )
    given = build.job(lasting, repeat_every_ms=500.0)
    stored = msgspec.json.decode(msgspec.json.encode(given))
    (step,) = stored['work']['steps']
    assert step['may_miss'] == 2
    assert step['long_running'] and step['same_rack']
    assert step['estimate_ms'] == 1000.0
    assert stored['work']['interval_ms'] == 500.0
    assert stored['queue']['max_attempts'] == 2
    text = json.dumps(stored).encode()
    assert msgspec.json.decode(text, type=model.Job) == given


@pytest.mark.parametrize('layer', sorted(LAYERS))
def test_imports_go_one_way(layer):
    allowed = {layer, *LAYERS[layer]}
    for path in (PACKAGE / layer).glob('*.py'):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.ImportFrom):
                continue
            parts = (node.module or '').split('.')
            if parts[0] != 'oleanderwood' or len(parts) < 2:
                continue
            other = parts[1]
            if other in LAYERS and (layer, other) not in CYCLE:
                assert other in allowed, f'{path} imports {other}'
