"""Pytest set-up: known red tests, and the profile of property tests."""

import pathlib

import hypothesis
import pytest

KNOWN_RED = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'
MOST_KNOWN_RED = 3

hypothesis.settings.register_profile(
    'repeatable', derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile('repeatable')


def _known_red():
    if not KNOWN_RED.exists():
        return {}
    lines = [line for line in KNOWN_RED.read_text().splitlines() if line]
    assert len(lines) <= MOST_KNOWN_RED, 'KNOWN-RED.txt holds too many lines'
    return {line.split(',')[0].strip(): line for line in lines}


def pytest_configure(config):
    config.addinivalue_line('markers', 'slow: longer test, run with -m slow')


def pytest_collection_modifyitems(items):
    red = _known_red()
    for item in items:
        if item.nodeid in red:
            mark = pytest.mark.xfail(reason=red[item.nodeid], strict=True)
            item.add_marker(mark)


def pytest_terminal_summary(terminalreporter):
    for line in _known_red().values():
        terminalreporter.write_line(f'known red: {line}')
