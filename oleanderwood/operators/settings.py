"""Settings of the command line, checked as a whole.

They are parameters of cyclopts commands; every flag has an environment
variable (``OLEANDER_`` and the flag's name in capitals). A list takes its
values from one variable, parted by blanks.
"""

import collections.abc
import dataclasses
import ipaddress
import sys
import typing

import cyclopts

import oleanderwood
from oleanderwood import errors

EXIT_BAD_SETTINGS = 2

_KINDS = {int: 'a whole number', float: 'a number', bool: 'true, false'}

_UNREADABLE: dict[str, errors.SettingsFault] = {}
"""Faults of the command line that :func:`validate` tells with its own."""


@dataclasses.dataclass(frozen=True)
class Check:
    """One setting's value with the rule that it has to meet."""

    flag: str
    value: typing.Any
    allowed: str
    accepts: collections.abc.Callable[[typing.Any], bool]


def is_address(value: typing.Any) -> bool:
    """Say whether a value is an address, as in ``127.0.0.1:80``.

    Port 0 means any free one.
    """
    host, separator, port = str(value).rpartition(':')
    if not separator or not port.isdigit() or int(port) > 65535:
        return False
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        return False
    return True


def address(flag: str, value: typing.Any) -> Check:
    """Check that a setting is an address."""
    return Check(flag, value, 'an IP number and port', is_address)


def addresses(flag: str, values: typing.Iterable[typing.Any]) -> list[Check]:
    """Check that each of a setting's values is an address."""
    return [address(flag, value) for value in values]


def between(flag: str, value: float, low: float, high: float) -> Check:
    """Check that a number lies between two bounds, both allowed."""
    return Check(
        flag, value, f'{low:.15g} to {high:.15g}', lambda v: low <= v <= high
    )


def validate(checks: collections.abc.Iterable[Check]) -> None:
    """Check all settings.

    :raises ExceptionGroup: of :class:`errors.SettingsFault`, one for each
        setting that is not allowed
    """
    faults = list(_UNREADABLE.values())
    faults += [
        _fault(check.flag, check.value, check.allowed)
        for check in checks
        if check.flag not in _UNREADABLE and not check.accepts(check.value)
    ]
    _UNREADABLE.clear()
    if faults:
        raise ExceptionGroup('settings are not allowed', faults)


def _fault(flag: str, value: typing.Any, allowed: str) -> errors.SettingsFault:
    return errors.SettingsFault(
        f'{flag}: {value!r} is not allowed; allowed: {allowed}'
    )


def _note_unreadable(
    app: cyclopts.App,
    commands: tuple[str, ...],
    arguments: cyclopts.ArgumentCollection,
) -> None:
    """Note all flags that are missing, or not of their type.

    cyclopts itself would end at the first. They are taken as 0 or empty, or
    by their default, so that the command is called and :func:`validate`
    tells them with the others.
    """
    _UNREADABLE.clear()
    for argument in arguments:
        flag = argument.name
        if not flag.startswith('--') or not argument.parse:
            continue
        fault = _unreadable(argument)
        if fault is not None:
            _UNREADABLE[flag] = fault
            value = '' if argument.hint not in _KINDS else '0'
            token = cyclopts.Token(keyword=flag, value=value)
            argument.tokens[:] = [token] if argument.required else []


def _unreadable(argument: cyclopts.Argument) -> errors.SettingsFault | None:
    if not argument.has_tokens:
        if not argument.required:
            return None
        return errors.SettingsFault(f'{argument.name}: must be given')
    try:
        argument.convert()
    except cyclopts.CoercionError:
        value = ' '.join(token.value for token in argument.tokens)
        return _fault(argument.name, value, kind_of(argument))
    return None


def kind_of(argument: cyclopts.Argument) -> str:
    """Say what a setting's values are of, by its type alone."""
    hints = typing.get_args(argument.hint) or (argument.hint,)
    return next((_KINDS[hint] for hint in hints if hint in _KINDS), 'any text')


def application(program: str, summary: str) -> cyclopts.App:
    """Make the command line of one binary."""
    return cyclopts.App(
        name=program,
        help=summary,
        version=oleanderwood.__version__,
        config=(
            cyclopts.config.Env('OLEANDER_', command=False),
            _note_unreadable,
        ),
        result_action='return_value',
    )


def run(app: cyclopts.App) -> typing.Any:
    """Run a binary; faulty settings end it with status 2, all named.

    :returns: what the command gave
    """
    try:
        return app(sys.argv[1:])
    except ExceptionGroup as group:
        matched, rest = group.split(errors.SettingsFault)
        if rest is not None or matched is None:
            raise
        for fault in matched.exceptions:
            print(f'{app.name[0]}: {fault}', file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
