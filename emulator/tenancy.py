"""Tenants of an emulated day: keys, limits, and strangers who call too."""

import dataclasses
import enum
import json
import random

import curio

from emulator import store as stores
from oleanderwood import clock

KEYS_EACH = 2
"""Keys that a tenant begins with."""

LIMIT_CPU = 24_000
"""Processor time that a tenant may have running, in thousandths of a core; of
the largest one the lasting tasks may take a third."""

GANGS_LIMIT_CPU = 36_000
"""The same on days with gangs: the widest one fits beside what lasts."""

FINISH_S = 50.0
"""Time after the last job in which all have to end, though limits hold them
back."""

STRANGERS_S = 0.05
"""Time between two calls of strangers."""

AWAY_S = 0.05
"""Time between two looks of the operator at a store that is away."""

LARGEST_SHARE = 0.5
"""Part of the jobs that the first tenant hands in."""


class Shown(enum.Enum):
    """Whose key a stranger shows."""

    NONE = 'none'
    NEVER_HELD = 'never-held'
    TAKEN_AWAY = 'taken-away'
    OF_ANOTHER = 'of-another'


@dataclasses.dataclass(frozen=True)
class Version:
    """What one configuration said, and when the store acknowledged it."""

    at_s: float
    keys: frozenset[str]
    limits: dict[str, int]


@dataclasses.dataclass(frozen=True)
class Call:
    """A call with the key that it showed.

    :ivar own: the job that it names, or its queue, is its key's tenant's
    """

    sent_s: float
    key: str
    method: str
    status: int
    own: bool = True
    answered_s: float = 0.0


@dataclasses.dataclass
class Tenancy:
    """All tenants of a day.

    :ivar rows: tenants as the operator last wrote them, by name
    :ivar owner: of each job, by its id
    """

    base: dict
    rng: random.Random
    limit_cpu: int
    rows: dict[str, dict] = dataclasses.field(default_factory=dict)
    owner: dict[str, str] = dataclasses.field(default_factory=dict)
    versions: list[Version] = dataclasses.field(default_factory=list)
    calls: list[Call] = dataclasses.field(default_factory=list)
    minted: int = 0


def make(
    configuration: bytes, seed: int, count: int, limit_cpu: int = LIMIT_CPU
) -> Tenancy:
    """Make tenants with keys and limits beside a configuration."""
    tenancy = Tenancy(
        json.loads(configuration), random.Random(seed + 7), limit_cpu
    )
    for number in range(count):
        name = f't{number}'
        tenancy.rows[name] = {
            'name': name,
            'api_keys': [mint(tenancy) for _ in range(KEYS_EACH)],
            'priority': 1,
            'weight': 20,
            'max_count': {'cpu': limit_cpu, 'mem_mb': 0, 'gpu': 0},
        }
    return tenancy


def mint(tenancy: Tenancy) -> str:
    """Give a key that nobody had before."""
    tenancy.minted += 1
    return f'key-{tenancy.minted}-{tenancy.rng.getrandbits(40):010x}'


def encode(tenancy: Tenancy) -> bytes:
    """Encode the configuration that holds by now."""
    value = {
        **tenancy.base,
        'version': tenancy.base['version'] + len(tenancy.versions),
        'tenants': list(tenancy.rows.values()),
    }
    for route in value['routes']:
        route['public'] = False
    return json.dumps(value).encode()


async def write(tenancy: Tenancy, store: stores.Store) -> None:
    """Let the operator write what holds by now, once the store is there."""
    while store.down:
        await curio.sleep(AWAY_S)
    await stores.put(store, 'op/config', encode(tenancy))
    note_version(tenancy)


def note_version(tenancy: Tenancy) -> None:
    """Note what was just written."""
    tenancy.versions.append(
        Version(
            clock.now_s(),
            frozenset(
                key for row in tenancy.rows.values() for key in row['api_keys']
            ),
            {
                name: row['max_count']['cpu']
                for name, row in tenancy.rows.items()
            },
        )
    )


def draw_owner(tenancy: Tenancy, job: str) -> None:
    """Draw whose a job is; the first tenant is a large one."""
    names = list(tenancy.rows)
    large = tenancy.rng.random() < LARGEST_SHARE
    tenancy.owner[job] = names[0] if large else tenancy.rng.choice(names)


def key_of(tenancy: Tenancy, job: str) -> str:
    """Give a key that a job's tenant has at present."""
    row = tenancy.rows[tenancy.owner[job]]
    return tenancy.rng.choice(row['api_keys'])


def taken_away(tenancy: Tenancy) -> list[str]:
    """Give the keys that were once good, in order."""
    if not tenancy.versions:
        return []
    seen: dict[str, None] = {}
    for version in tenancy.versions:
        seen.update(dict.fromkeys(sorted(version.keys)))
    return [key for key in seen if key not in tenancy.versions[-1].keys]


def strange_key(tenancy: Tenancy, job: str) -> tuple[Shown, str | None]:
    """Draw what a stranger shows who asks for a job."""
    shown = tenancy.rng.choice(list(Shown))
    taken = taken_away(tenancy)
    if shown is Shown.TAKEN_AWAY and not taken:
        shown = Shown.NEVER_HELD
    if shown is Shown.NONE:
        return shown, None
    if shown is Shown.TAKEN_AWAY:
        return shown, tenancy.rng.choice(taken)
    if shown is Shown.NEVER_HELD:
        return shown, f'strange-{tenancy.rng.getrandbits(40):010x}'
    others = [
        row['api_keys']
        for name, row in tenancy.rows.items()
        if name != tenancy.owner.get(job)
    ]
    return shown, tenancy.rng.choice(tenancy.rng.choice(others))
