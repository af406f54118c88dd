"""Access to what the settings of all binaries share: checks and options.

Each binary declares its settings as parameters of a cyclopts command, with
:data:`COMMON` ones by these annotated types; every flag has an environment
variable (``OLEANDER_`` and the flag's name in capitals).
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
LOG_LEVELS = ('debug', 'info', 'warning', 'error')


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


def is_name(value: typing.Any) -> bool:
    """Say whether a value is a name: letters, digits, ``._-``."""
    text = str(value)
    return bool(text) and all(c.isalnum() or c in '._-' for c in text)


def address(flag: str, value: typing.Any) -> Check:
    """Check that a setting is an address."""
    return Check(flag, value, 'an IP number and port', is_address)


def addresses(flag: str, values: typing.Iterable[typing.Any]) -> list[Check]:
    """Check that each of a setting's values is an address."""
    return [address(flag, value) for value in values]


def name(flag: str, value: typing.Any) -> Check:
    """Check that a setting is a name."""
    return Check(flag, value, 'letters, digits, ".", "_" and "-"', is_name)


def log_level(value: str) -> Check:
    """Check the setting ``--log-level``."""
    return Check(
        '--log-level',
        value,
        ', '.join(LOG_LEVELS),
        lambda level: str(level).lower() in LOG_LEVELS,
    )


def between(flag: str, value: float, low: float, high: float) -> Check:
    """Check that a number lies between two bounds, both allowed."""
    return Check(
        flag, value, f'{low:g} to {high:g}', lambda v: low <= v <= high
    )


def validate(checks: collections.abc.Iterable[Check]) -> None:
    """Check all settings.

    :raises ExceptionGroup: of :class:`errors.SettingsFault`, one for each
        setting that is not allowed
    """
    faults = [
        errors.SettingsFault(
            f'{check.flag}: {check.value!r} is not allowed; '
            f'allowed: {check.allowed}'
        )
        for check in checks
        if not check.accepts(check.value)
    ]
    if faults:
        raise ExceptionGroup('settings are not allowed', faults)


def application(program: str, summary: str) -> cyclopts.App:
    """Make the command line of one binary."""
    return cyclopts.App(
        name=program,
        help=summary,
        version=oleanderwood.__version__,
        config=cyclopts.config.Env('OLEANDER_', command=False),
        result_action='return_value',
    )


def run(app: cyclopts.App) -> typing.Any:
    """Run a binary; faulty settings end it with status 2, all named.

    :returns: what the command gave
    """
    try:
        return app()
    except ExceptionGroup as group:
        matched, rest = group.split(errors.SettingsFault)
        if rest is not None or matched is None:
            raise
        for fault in matched.exceptions:
            print(f'{app.name[0]}: {fault}', file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
