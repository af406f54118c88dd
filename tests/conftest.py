"""Pytest set-up: known red tests, and the profile of property tests."""

import pathlib
import re

import hypothesis
import pytest

KNOWN_RED = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'

FORM = re.compile(
    r'(?P<test>tests/test_\w+\.py::test_\w+(\[[^\]]+\])?), [^`]+, '
    r'`(?P<command>[^`]+)`, .+, issue \d+'
)
"""Test, cause, command with its seed, what was seen, issue."""

REAL_TIME = frozenset(
    (
        'test_bad_heads',
        'test_boot',
        'test_connections',
        'test_daemon',
        'test_due',
        'test_held_up_requests',
        'test_http',
        'test_http_server',
        'test_lossy_calls',
        'test_many_idle',
        'test_overload',
        'test_slow_links',
        'test_slow_readers',
        'test_soak',
    )
)
"""Modules on real sockets, signals or processes; one process passes them, so
that they have no company but the emulated days."""

hypothesis.settings.register_profile(
    'repeatable', derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile('repeatable')


def _known_red():
    if not KNOWN_RED.exists():
        return {}
    lines = [line for line in KNOWN_RED.read_text().splitlines() if line]
    found = {}
    for line in lines:
        match = FORM.fullmatch(line)
        assert match, f'KNOWN-RED.txt: not of the form: {line}'
        found[match['test']] = line
    return found


def pytest_configure(config):
    config.addinivalue_line('markers', 'slow: longer test, run with -m slow')


def pytest_collection_modifyitems(config, items):
    red = _known_red()
    whole = not config.option.keyword and len(config.args) == 1
    if whole and pathlib.Path(config.args[0]).name == 'tests':
        missing = set(red) - {item.nodeid for item in items}
        assert not missing, f'KNOWN-RED.txt names no test: {missing}'
    for item in items:
        if item.path.stem in REAL_TIME:
            item.add_marker(pytest.mark.xdist_group('real-time'))
        if item.nodeid in red:
            mark = pytest.mark.xfail(reason=red[item.nodeid], strict=True)
            item.add_marker(mark)


def pytest_terminal_summary(terminalreporter):
    for line in _known_red().values():
        terminalreporter.write_line(f'known red: {line}')
