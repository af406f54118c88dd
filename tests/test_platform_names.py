"""The platform's names stay in its adapter; imports go one way."""

import ast
import pathlib

import pytest

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

SOURCES = sorted(
    path
    for path in PACKAGE.rglob('*.py')
    if path.relative_to(PACKAGE).parts[0] != 'platform'
)

LAYERS = {
    'jobs': (),
    'pools': ('jobs',),
    'upkeeps': ('jobs', 'pools'),
    'platform': ('jobs', 'pools', 'upkeeps'),
    'leading': ('jobs', 'pools', 'upkeeps', 'platform'),
    'frontend': ('jobs', 'pools', 'upkeeps', 'platform', 'leading'),
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


@pytest.mark.parametrize('path', SOURCES, ids=lambda path: path.name)
def test_no_name_of_the_wire_stands_outside_the_adapter(path):
    for text in _strings(path):
        for name in WIRE_NAMES:
            assert name not in text, f'{path}: {name} in {text[:60]!r}'


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
