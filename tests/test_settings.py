"""Tests of the settings of all binaries."""

import sys

import pytest

from oleanderwood import settings
from tests import utils_guide

WRONG = {
    'oleander-entry': ['--listen=x', '--log-level=loud'],
    'oleander-controller': ['--tick-s=0', '--platform=x'],
    'oleander-admin': ['--listen=x', '--prepare-limit-s=0'],
    'oleanderctl': ['status', '--admin=x', '--timeout-s=0'],
    'oleander-load': ['--connections=0', '--address=x'],
}
UNREADABLE = {
    'oleander-entry': ['--max-connections=many', '--log-level=loud'],
    'oleander-controller': ['--tick-s=many', '--platform=x'],
    'oleander-admin': ['--commit-limit-s=many', '--listen=x'],
    'oleanderctl': ['status', '--timeout-s=many', '--admin=x'],
    'oleander-load': ['--seed=many', '--address=x'],
}
WITH_REQUIRED = [name for name in utils_guide.APPS if name != 'oleanderctl']
binaries = pytest.mark.parametrize('binary', utils_guide.APPS)


def _run(binary, words, monkeypatch):
    """Run a binary in this process; gives its exit status."""
    monkeypatch.setattr(sys, 'argv', [binary, *words])
    with pytest.raises(SystemExit) as ended:
        settings.run(utils_guide.APPS[binary])
    return ended.value.code


def _flags(words):
    return [word.partition('=')[0] for word in words if word[0] == '-']


@binaries
def test_all_wrong_settings_are_named_with_status_2(
    binary, monkeypatch, capsys
):
    status = _run(binary, WRONG[binary], monkeypatch)
    told = capsys.readouterr().err
    assert status == settings.EXIT_BAD_SETTINGS
    assert all(f'{binary}: {f}: ' in told for f in _flags(WRONG[binary]))


@binaries
def test_value_of_another_type_is_named_with_the_others(
    binary, monkeypatch, capsys
):
    words = UNREADABLE[binary]
    assert _run(binary, words, monkeypatch) == settings.EXIT_BAD_SETTINGS
    told = capsys.readouterr().err.splitlines()
    for flag in _flags(words):
        lines = [one for one in told if one.startswith(f'{binary}: {flag}: ')]
        assert len(lines) == 1
    assert sum("'many' is not allowed" in line for line in told) == 1


@pytest.mark.parametrize('binary', WITH_REQUIRED)
def test_all_missing_settings_are_named(binary, monkeypatch, capsys):
    arguments = utils_guide.arguments(utils_guide.APPS[binary])
    missing = [flag for flag, one in arguments.items() if one.required]
    assert missing
    assert _run(binary, [], monkeypatch) == settings.EXIT_BAD_SETTINGS
    told = capsys.readouterr().err.splitlines()
    assert [f'{binary}: {flag}: must be given' for flag in missing] == told


def test_faults_of_one_run_are_not_told_in_the_next(monkeypatch, capsys):
    binary = 'oleander-controller'
    _run(binary, [], monkeypatch)
    capsys.readouterr()
    settings.validate([settings.log_level('info')])


@binaries
def test_each_setting_has_a_variable(binary, monkeypatch):
    app = utils_guide.APPS[binary]
    for words, command in utils_guide.commands(app).items():
        arguments = utils_guide.arguments(command)
        for flag, argument in arguments.items():
            value = utils_guide.sample(argument)
            monkeypatch.setenv(utils_guide.variable(flag), value)
        line = list(words)
        if any(
            word in words
            for word in ('validate', 'diff', 'plan', 'apply', 'explain')
        ):
            line.append('file')
        if 'wave' in words:
            line.append('monthly')
        _, bound, _ = app.parse_args(line)
        given = dict(bound.arguments)
        common = given.pop('common', None)
        if common is not None:
            given |= vars(common)
        for flag, argument in arguments.items():
            value = given[flag[2:].replace('-', '_')]
            wanted = utils_guide.sample(argument)
            assert str(value).lower() in (
                wanted,
                f'{wanted}.0',
                f"['{wanted}']",
            )


@binaries
@pytest.mark.parametrize('flag', ['--version', '--help'])
def test_version_and_help(binary, flag, monkeypatch, capsys):
    monkeypatch.setattr(sys, 'argv', [binary, flag])
    settings.run(utils_guide.APPS[binary])
    told = capsys.readouterr().out
    assert told == '0.1.0\n' if flag == '--version' else binary in told


def test_variable_with_several_values_is_parted_by_blanks(monkeypatch):
    monkeypatch.setenv('OLEANDER_STORE', '127.0.0.1:1 127.0.0.1:2')
    line = ['--region=r', '--name=n', '--platform=127.0.0.1:3']
    app = utils_guide.APPS['oleander-controller']
    _, bound, _ = app.parse_args(line)
    assert bound.arguments['store'] == ['127.0.0.1:1', '127.0.0.1:2']
