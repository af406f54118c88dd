"""Another writer of entries: writes over executors' own, and adds some."""

import dataclasses
import json
import random
import typing

import curio

from emulator import evidence as evidences
from emulator import executors
from emulator import fleet as fleets
from emulator import store as stores
from oleanderwood import clock

SHARE = 3
"""One in so many executors is written over at once, rounded up."""

GAP_S = 0.6
"""Mean time between two writes."""

LACKING = object()
"""In place of a field's value: it is left out."""

ANOTHER = object()
"""In place of an address: that of another machine, which answers."""


@dataclasses.dataclass(frozen=True)
class Written:
    """An entry as another writer writes it, until it is taken back.

    :ivar value: what is written; None: an executor's own entry, but for one
        field
    :ivar name: the id that it is written under; '': that of an executor
    :ivar unusable: it surely names no executor to use
    """

    at_s: float
    for_s: float
    value: bytes | None = None
    field: str = ''
    content: typing.Any = LACKING
    name: str = ''
    unusable: bool = False


FIELDS: tuple[tuple[str, typing.Any], ...] = (
    ('service', LACKING),
    ('service', 7),
    ('service', 'nowhere'),
    ('addr', LACKING),
    ('addr', ''),
    ('addr', 'no address'),
    ('addr', '10.1.0.1:99999'),
    ('addr', ANOTHER),
    ('addr', ANOTHER),
    ('state', LACKING),
    ('state', 'banana'),
    ('state', ['ready']),
    ('capacity', LACKING),
    ('capacity', {'cpu': -5, 'mem_mb': 65536, 'gpu': 0}),
    ('capacity', {'cpu': 'all', 'mem_mb': 65536, 'gpu': 0}),
    ('labels', [1, 2]),
    ('labels', 'a'),
    ('zone', None),
    ('slots', 'eight'),
    ('seq', LACKING),
)
"""Fields, and what makes an entry unusable there."""

VALUES = (
    b'',
    b'\xff\xfe\x00',
    b'{"service":"drafts","addr":"10.1',
    b'[]',
    b'null',
    b'7',
    b'[' * 20_000 + b']' * 20_000,
)
"""Entries that can't be read."""

ODD_VALUES = (
    *VALUES,
    b'{"more":' + b'[' * 20_000 + b']' * 20_000 + b'}',
    b'{"wave":1e400,"job":' + b'9' * 5000 + b'}',
    b'{"wave":"\\ud800","text":"\\ud800"}',
)
"""Values that no server can use under any key."""

FOLLOWED = (
    'op/wave/900',
    'ow/in/job/' + 'f' * 16,
    'ow/in/cancel/' + 'f' * 16,
    'ow/in/policy',
    'ow/roles/server/nobody',
    'servers/nobody',
)
"""Keys below the prefixes that servers follow."""

READ_IN_TAKEOVERS = ('ow/progress/' + 'f' * 16, 'ow/waves/900')
"""Keys that only a new leader reads."""

NAMES = ('', 'two words', 'i-\u00fc', 'a/b', 'i-nobody', 'line\r\nend')


def draw(rng: random.Random, for_s: float) -> list[Written]:
    """Draw what another writer does for a while."""
    rows = []
    at_s = 0.0
    while at_s < for_s:
        stays_s = rng.uniform(0.0, for_s - at_s)
        name = ''
        if rng.random() < 0.3:
            name = rng.choice(NAMES)
        if rng.random() < 0.3:
            value = rng.choice((*VALUES, rng.randbytes(40)))
            row = Written(at_s, stays_s, value, name=name, unusable=True)
        else:
            field, content = rng.choice(FIELDS)
            row = Written(
                at_s, stays_s, None, field, content, name, unusable=True
            )
        rows.append(row)
        at_s += rng.expovariate(1 / GAP_S)
    return rows


async def write(
    fleet: fleets.Fleet,
    rng: random.Random,
    spoiled: set[str],
    row: Written,
) -> None:
    """Write an entry at its time, and take it back after its own.

    :param spoiled: executors that are written over at the moment
    """
    await curio.sleep(row.at_s)
    sound = _sound(fleet, spoiled)
    if not sound:
        return
    executor = rng.choice(sound)
    if row.content is ANOTHER:
        others = [
            machine.address
            for machine in fleet.machines.values()
            if machine.name != executor.machine
        ]
        row = dataclasses.replace(row, content=rng.choice(others))
    value = spoil(executors.entry(executor), row)
    if row.name:
        await _put(fleet, f'servers/{row.name}', value)
        await curio.sleep(row.for_s)
        await _remove(fleet, f'servers/{row.name}')
        return
    if len(spoiled) * SHARE >= len(sound) + len(spoiled):
        return
    spoiled.add(executor.name)
    await _write_over(fleet, executor, row, value)
    spoiled.discard(executor.name)


async def write_elsewhere(
    fleet: fleets.Fleet, rng: random.Random, for_s: float
) -> None:
    """Write odd values under other keys, one after the other.

    Each stands until the end, so that a takeover meets it, too.
    """
    keys = [*FOLLOWED, *READ_IN_TAKEOVERS]
    rng.shuffle(keys)
    for key in keys:
        await _put(fleet, key, rng.choice(ODD_VALUES))
        await curio.sleep(for_s / len(keys))
    for key in keys:
        await _remove(fleet, key)


def _sound(fleet: fleets.Fleet, spoiled: set[str]) -> list[executors.Executor]:
    """Give the executors that live and aren't written over."""
    return [
        machine.executor
        for machine in fleet.machines.values()
        if machine.executor is not None
        and machine.executor.name not in spoiled
    ]


def spoil(good: bytes, row: Written) -> bytes:
    """Give what is written in place of a good entry."""
    if row.value is not None:
        return row.value
    fields = json.loads(good)
    fields.pop(row.field, None)
    if row.content is not LACKING:
        fields[row.field] = row.content
    return json.dumps(fields).encode()


async def _write_over(fleet, executor, row, value) -> None:
    key = executors.key(executor)
    await _put(fleet, key, value)
    if row.unusable:
        _note(fleet, executor, evidences.Kind.SPOILED)
    await curio.sleep(row.for_s)
    if executor.up:
        _note(fleet, executor, evidences.Kind.MENDED)
        await _put(fleet, key, executors.entry(executor))
    else:
        await _remove(fleet, key)


def _note(fleet, executor, kind) -> None:
    evidences.note(
        fleet.world.evidence, clock.now_s(), kind, place=executor.name
    )


async def _put(fleet, key, value) -> None:
    await _until_up(fleet)
    await stores.put(fleet.world.store, key, value)


async def _remove(fleet, key) -> None:
    await _until_up(fleet)
    await stores.remove(fleet.world.store, key)


async def _until_up(fleet) -> None:
    while fleet.world.store.down:
        await curio.sleep(0.1)
