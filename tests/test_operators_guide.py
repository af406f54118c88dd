"""Tests of docs/OPERATORS.md against the code."""

import pathlib
import re

import cyclopts
import msgspec

from oleanderwood import admin
from oleanderwood import admin_api
from oleanderwood import configuration
from oleanderwood import ctl
from tests import utils_admin

GUIDE = pathlib.Path(__file__).parent.parent / 'docs' / 'OPERATORS.md'
TEXT = GUIDE.read_text()
SECTIONS = {
    '[[pools]]': configuration.Pool,
    '[[services]]': configuration.Service,
    '[[teams]]': configuration.Team,
    '[[jobs]]': configuration.Job,
    '[[waves]]': configuration.Wave,
    '[weights]': configuration.Weights,
}


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
    if value == ():
        return 'none'
    if isinstance(value, bool):
        return str(value).lower()
    return f'`{value}`' if isinstance(value, str) else str(value)


def test_each_field_is_named_with_its_default():
    for heading, kind in SECTIONS.items():
        wanted = [
            (f'`{field.name}`', _default(field))
            for field in msgspec.structs.fields(kind)
        ]
        rows = _rows(f'### `{heading}`')
        assert [(row[0], row[1]) for row in rows] == wanted


def _commands(app, words):
    """Give all commands of an application with their flags."""
    found = {}
    for name in app:
        if name.startswith('-'):
            continue
        below = app[name]
        if below.default_command is None:
            found |= _commands(below, f'{words} {name}')
        else:
            found[f'{words} {name}'] = _flags(below)
    return found


def _flags(app):
    collection = app.assemble_argument_collection()
    return {
        flag
        for argument in collection
        for flag in argument.names
        if flag.startswith('--')
    }


def test_each_command_and_flag_is_named():
    commands = _commands(ctl.APP, 'oleanderctl')
    assert len(commands) == 10
    for command, flags in commands.items():
        assert f'`{command}' in TEXT
        for flag in flags:
            assert flag in TEXT


def test_each_exit_status_is_named():
    rows = re.findall(r'^\| (\d) \|', TEXT, re.MULTILINE)
    assert [int(number) for number in rows] == [int(e) for e in ctl.Exit]


def test_each_error_is_named_with_its_statuses():
    for kind, status in admin_api.STATUSES.items():
        row = f'| `{kind.value}` | {status} | {int(ctl.EXITS[kind])} |'
        assert row in TEXT


def test_each_call_is_named():
    routes = admin_api._routes(utils_admin.make(('e1',)).api)
    for (method, path), route in routes.items():
        mark = ' *' if route.writes else ''
        assert re.search(
            rf'\| `{method} {path}(\[[^`]*)?`{re.escape(mark)} \|', TEXT
        )


def test_each_setting_of_the_daemon_is_named():
    rows = {row[0].strip('`') for row in _rows('## Settings of')}
    assert rows == _flags(admin.APP) - {'--help', '--version'}
    assert isinstance(admin.APP, cyclopts.App)
