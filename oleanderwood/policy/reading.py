"""Parses and validates a policy file, and reports all its faults at once."""

import collections
import collections.abc
import tomllib
import typing

import msgspec

from oleanderwood import codec
from oleanderwood import errors
from oleanderwood.jobs import queues
from oleanderwood.policy import hours
from oleanderwood.policy import model

MAX_TEXT_BYTES = 256 << 10
"""Maximal size of a file; 260 pools and 290 teams take about 40 KB."""

MIN_WEIGHT = 0.1
MAX_WEIGHT = 10.0
"""Bounds of a weight; beyond them machines would always or never move."""

LISTS = {'pools': model.Pool, 'teams': model.Team}
TABLES = {
    'maintenance': model.Maintenance,
    'weights': model.Weights,
    'load': model.Load,
}

LOAD_RANGES = {
    'max_wait_factor': (1.0, 10.0),
    'usage_half_life_s': (0.5, 300.0),
}
"""Smallest and largest values of the numbers in the section ``load``."""


def read(text: str) -> model.Policy:
    """Return the policy of a file's text.

    :raises ExceptionGroup: the file is invalid; holds one
        :class:`errors.ConfigurationFault` for each fault
    """
    faults: list[errors.ConfigurationFault] = []
    policy = _build_policy(_parse(text, faults), faults)
    faults += _validate(policy)
    if faults:
        raise ExceptionGroup('the file has faults', faults)
    return policy


def _parse(text: str, faults: list) -> dict[str, typing.Any]:
    if len(text.encode()) > MAX_TEXT_BYTES:
        remedy = f'at most {MAX_TEXT_BYTES} bytes'
        faults.append(errors.ConfigurationFault('file', 'too long', remedy))
        return {}
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        fault = errors.ConfigurationFault('file', str(error), 'write TOML')
        faults.append(fault)
        return {}


def _build_policy(tables: dict[str, typing.Any], faults: list) -> model.Policy:
    sections: dict[str, typing.Any] = {}
    for name, value in tables.items():
        if name in TABLES:
            row = _convert(name, value, TABLES[name], faults)
            if row is not None:
                sections[name] = row
        elif name in LISTS and isinstance(value, list):
            rows = [
                _convert(f'{name}[{index}]', row, LISTS[name], faults)
                for index, row in enumerate(value)
            ]
            sections[name] = tuple(row for row in rows if row is not None)
        else:
            known = ', '.join(sorted([*LISTS, *TABLES]))
            fault = errors.ConfigurationFault(
                name, 'no such section', f'known are {known}'
            )
            faults.append(fault)
    return model.Policy(**sections)


def _convert(path: str, value, kind: type, faults: list):
    try:
        return msgspec.convert(value, type=kind)
    except msgspec.ValidationError as error:
        where = path + str(error).rpartition('`$')[2].rstrip('`')
        if '`$' not in str(error):
            where = path
        reason = str(error).partition(' - at')[0]
        fault = errors.ConfigurationFault(where, reason, 'correct it')
        faults.append(fault)
        return None


def _validate(
    policy: model.Policy,
) -> collections.abc.Iterator[errors.ConfigurationFault]:
    yield from _find_duplicates('pools', [pool.name for pool in policy.pools])
    yield from _find_duplicates('teams', [team.name for team in policy.teams])
    queue_names = [name for team in policy.teams for name in team.queues]
    yield from _find_duplicates('teams.queues', queue_names)
    for index, pool in enumerate(policy.pools):
        if pool.min_up < 0:
            yield errors.ConfigurationFault(
                f'pools[{index}].min_up', f'{pool.min_up} is below 0', 'raise'
            )
    for index, team in enumerate(policy.teams):
        if team.max_cores <= 0:
            yield errors.ConfigurationFault(
                f'teams[{index}].max_cores',
                f'{team.max_cores} is not above 0',
                'leave the team out if it has no limit',
            )
    for index, text in enumerate(policy.maintenance.not_between):
        if hours.read(text) is None:
            yield errors.ConfigurationFault(
                f'maintenance.not_between[{index}]',
                f'{text!r} is not a time range',
                'write it as in 05:00-07:30',
            )
    for name in policy.weights.__struct_fields__:
        weight = getattr(policy.weights, name)
        if not MIN_WEIGHT <= weight <= MAX_WEIGHT:
            yield errors.ConfigurationFault(
                f'weights.{name}',
                f'{weight} is not allowed',
                f'{MIN_WEIGHT:g} to {MAX_WEIGHT:g}',
            )
    yield from _validate_load(policy.load)


def _validate_load(
    load: model.Load,
) -> collections.abc.Iterator[errors.ConfigurationFault]:
    for name, (least, most) in LOAD_RANGES.items():
        value = getattr(load, name)
        if not least <= value <= most:
            yield errors.ConfigurationFault(
                f'load.{name}',
                f'{value} is not allowed',
                f'{least:g} to {most:g}',
            )
    if load.admission is model.Mode.ON and load.ordering is model.Mode.OFF:
        yield errors.ConfigurationFault(
            'load.admission',
            "'on' contradicts load.ordering 'off'",
            'waits are predicted for that order: turn both on, or both off',
        )


def _find_duplicates(path: str, names: list[str]):
    for name, count in collections.Counter(names).items():
        if count > 1:
            yield errors.ConfigurationFault(
                path, f'{name!r} is listed {count} times', 'list it once'
            )


def unknown_names(
    policy: model.Policy, configuration: queues.Configuration
) -> list[str]:
    """Return the pools and queues of a policy that the platform lacks.

    They are no fault, since the platform's configuration changes
    independently.
    """
    services = set(configuration.services)
    known = {queue.name for queue in configuration.queues}
    missing = [
        f'pool {pool.name}'
        for pool in policy.pools
        if pool.name not in services
    ]
    return missing + [
        f'queue {name} of team {team.name}'
        for team in policy.teams
        for name in team.queues
        if name not in known
    ]


def differences(before: model.Policy, after: model.Policy) -> list[str]:
    """Describe the changes from one policy to another, a line each."""
    old, new = _flatten(before), _flatten(after)
    lines = []
    for path in sorted({*old, *new}):
        if old.get(path) != new.get(path):
            lines.append(
                f'{path}: {_dump(old.get(path))} -> {_dump(new.get(path))}'
            )
    return lines


def _dump(value: typing.Any) -> str:
    return 'nothing' if value is None else msgspec.json.encode(value).decode()


def _flatten(policy: model.Policy) -> dict[str, typing.Any]:
    rows: dict[str, typing.Any] = {}
    for section in LISTS:
        for row in getattr(policy, section):
            fields = msgspec.to_builtins(row)
            name = fields.pop('name')
            for field, value in fields.items():
                rows[f'{section}.{name}.{field}'] = value
    for section in TABLES:
        fields = msgspec.to_builtins(getattr(policy, section))
        for field, value in fields.items():
            rows[f'{section}.{field}'] = value
    return rows


def encode(stored: model.StoredPolicy) -> bytes:
    """Encode a policy for the store."""
    return msgspec.json.encode(stored)


def decode(value: bytes) -> model.StoredPolicy:
    """Decode a policy that :func:`encode` has encoded.

    :raises msgspec.MsgspecError: the value is malformed
    """
    return codec.decode(value, model.StoredPolicy)
