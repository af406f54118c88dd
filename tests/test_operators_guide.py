"""Tests of the operators' pages and of the examples against the code."""

import re

import msgspec
import pytest

from oleanderwood import boot
from oleanderwood.operators import api
from oleanderwood.operators import ctl
from oleanderwood.policy import model
from oleanderwood.policy import reading
from tests import utils_guide

TEXT = (utils_guide.ROOT / 'docs' / 'REFERENCE.md').read_text()
SECTIONS = {
    '[[pools]]': model.Pool,
    '[[teams]]': model.Team,
    '[maintenance]': model.Maintenance,
    '[weights]': model.Weights,
}
EXAMPLES = sorted((utils_guide.ROOT / 'examples').glob('*.toml'))


def _rows(heading):
    """Give the cells of the tables under a heading that starts so."""
    start = TEXT.index(heading) + len(heading)
    end = re.compile(r'^#{2,3} ', re.MULTILINE).search(TEXT, start)
    part = TEXT[start : end.start() if end else None]
    lines = [line for line in part.splitlines() if line.startswith('| `')]
    return [[cell.strip() for cell in line.split('|')[1:-1]] for line in lines]


def _default(field):
    if field.default is msgspec.NODEFAULT:
        return ''
    value = msgspec.to_builtins(field.default)
    if value in ((), [], None, ''):
        return 'none'
    if isinstance(value, bool):
        return str(value).lower()
    return str(value)


@pytest.mark.parametrize('heading', SECTIONS)
def test_each_field_is_named_with_its_default(heading):
    wanted = [
        (f'`{field.name}`', _default(field))
        for field in msgspec.structs.fields(SECTIONS[heading])
    ]
    rows = _rows(f'### `{heading}`')
    assert [(row[0], row[1]) for row in rows] == wanted


def test_each_setting_of_a_server_is_named_with_its_default():
    wanted = [
        (f'`{field.name}`', _default(field))
        for field in msgspec.structs.fields(boot.Settings)
    ]
    rows = _rows('## Settings of a server')
    assert [(row[0], row[1]) for row in rows] == wanted


def test_each_command_is_named():
    commands = utils_guide.commands(ctl.APP)
    rows = _rows('## Commands')
    named = [
        row[0].split()[1].strip('`')
        for row in rows
        if row[0].startswith('`oleanderctl')
    ]
    assert named == [' '.join(words) for words in commands]


def test_each_flag_is_named_with_variable_and_default():
    rows = _rows('### Flags of all commands')
    named = {row[0].strip('`'): row for row in rows}
    others = {'--base', '--author'}
    flags = utils_guide.arguments(ctl.APP)
    assert set(named) == set(flags) - others
    for flag, row in named.items():
        value = flags[flag].field_info.default
        if isinstance(value, bool):
            value = str(value).lower()
        shown = 'none' if value in (None, '') else f'`{value}`'
        assert row[1:3] == [f'`{utils_guide.variable(flag)}`', shown]


def test_each_exit_status_is_named():
    rows = re.findall(r'^\| (\d) \|', TEXT, re.MULTILINE)
    assert [int(number) for number in rows] == [int(e) for e in ctl.Exit]


def test_each_error_is_named_with_its_statuses():
    for kind, status in api.STATUSES.items():
        row = f'| `{kind.value}` | {status} | {int(ctl.EXITS[kind])} |'
        assert row in TEXT


def test_each_call_is_named():
    for method, name in api.CALLS:
        mark = ' *' if (method, name) in api.WRITES else ''
        found = re.search(
            rf'^\| `{method} /v1/{name}(/ID)?`{re.escape(mark)} \|',
            TEXT,
            re.MULTILINE,
        )
        assert found, name


def test_each_metric_is_named_with_its_labels():
    found = {
        row[0].strip('`'): tuple(re.findall('`([^`]+)`', row[1]))
        for row in _rows('## Metrics')
    }
    assert found == utils_guide.metrics()


@pytest.mark.parametrize('path', EXAMPLES, ids=lambda path: path.name)
def test_examples_have_no_faults(path):
    policy = reading.read(path.read_text())
    assert policy.pools and policy.teams
