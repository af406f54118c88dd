"""Tests of the command line's settings."""

import sys

import pytest

from oleanderwood.operators import settings
from tests import utils_guide

APP = utils_guide.APP
PROGRAM = 'oleanderctl'


def _run(words, monkeypatch):
    """Run the command line in this process; gives its exit status."""
    monkeypatch.setattr(sys, 'argv', [PROGRAM, *words])
    with pytest.raises(SystemExit) as ended:
        settings.run(APP)
    return ended.value.code


def test_all_wrong_settings_are_named_with_status_2(monkeypatch, capsys):
    words = ['status', '--server=x', '--timeout-s=0']
    assert _run(words, monkeypatch) == settings.EXIT_BAD_SETTINGS
    told = capsys.readouterr().err
    assert f'{PROGRAM}: --server: ' in told
    assert f'{PROGRAM}: --timeout-s: ' in told


def test_value_of_another_type_is_named_with_the_others(monkeypatch, capsys):
    words = ['status', '--timeout-s=many', '--server=x']
    assert _run(words, monkeypatch) == settings.EXIT_BAD_SETTINGS
    told = capsys.readouterr().err.splitlines()
    assert len(told) == 2
    assert sum("'many' is not allowed" in line for line in told) == 1


@pytest.mark.parametrize('words', utils_guide.commands(APP))
def test_each_setting_has_a_variable(words, monkeypatch):
    command = utils_guide.commands(APP)[words]
    arguments = utils_guide.arguments(command)
    for flag, argument in arguments.items():
        value = utils_guide.sample(argument)
        monkeypatch.setenv(utils_guide.variable(flag), value)
    line = list(words)
    if words[0] in ('validate', 'plan', 'apply', 'explain', 'job'):
        line.append('thing')
    _, bound, _ = APP.parse_args(line)
    given = dict(bound.arguments)
    common = given.pop('common', None)
    if common is not None:
        given |= vars(common)
    for flag, argument in arguments.items():
        value = given[flag[2:].replace('-', '_')]
        wanted = utils_guide.sample(argument)
        allowed = (wanted, f'{wanted}.0', f"['{wanted}']")
        assert str(value).lower() in allowed


@pytest.mark.parametrize('flag', ['--version', '--help'])
def test_version_and_help(flag, monkeypatch, capsys):
    monkeypatch.setattr(sys, 'argv', [PROGRAM, flag])
    settings.run(APP)
    told = capsys.readouterr().out
    assert told == '0.2.0\n' if flag == '--version' else PROGRAM in told


def test_variable_with_several_values_is_parted_by_blanks(monkeypatch):
    monkeypatch.setenv('OLEANDER_SERVER', '127.0.0.1:1 127.0.0.1:2')
    _, bound, _ = APP.parse_args(['status'])
    common = bound.arguments['common']
    assert common.server == ['127.0.0.1:1', '127.0.0.1:2']


@pytest.mark.parametrize(
    ('value', 'expected'),
    [
        ('127.0.0.1:80', True),
        ('[::1]:80', True),
        ('127.0.0.1', False),
        ('name:80', False),
        ('127.0.0.1:70000', False),
    ],
)
def test_addresses(value, expected):
    assert settings.is_address(value) is expected
