"""Servers that get figures, and leaders that publish them."""

import contextlib

import curio
import msgspec

from emulator import servers
from oleanderwood.admission import figures as figures_
from oleanderwood.admission import load as loads_
from oleanderwood import ids
from oleanderwood.jobs import record
from oleanderwood.leading import admission_load
from oleanderwood.leading import admission_loop
from oleanderwood.platform import store as platform_stores
from tests import utils_servers as build
from tests import utils_tenants as tenants

POOL = ids.ServiceId('drafts')
OPEN_POOL = ids.ServiceId('finals')
FIRST = ids.TenantId('first')
LATER_TERM = 1 << 30
"""Later than the terms of all leaders in these tests."""


def figures(
    number: int = 1, term: int = LATER_TERM, share: float = 0.0
) -> bytes:
    """Build figures that refuse all jobs, or most, of all tenants."""
    row = figures_.PoolFigures(1.0, 2.0, {}, share, FIRST)
    pools = {POOL: row, OPEN_POOL: row}
    return msgspec.json.encode(
        figures_.Figures(term, number, 1000.0, 'salt', pools)
    )


async def tell(world, process, **fields) -> int:
    """Send figures to a server as a leader does; gives the status."""
    status, _body = await build.call(
        world, process, 'POST', admission_loop.PATH, figures(**fields)
    )
    return status


def is_stored(world, job: str = tenants.JOB) -> bool:
    """Say whether the store has a job."""
    return record.job_key(ids.JobId(job)) in world.store.items


@contextlib.contextmanager
def job_calls(monkeypatch):
    """Count the reads and writes of jobs' keys."""
    counts = {'read': 0, 'write': 0}
    read, write = platform_stores.read, platform_stores.write

    async def counted_read(store, key, *arguments):
        counts['read'] += key.startswith(record.JOB_PREFIX)
        return await read(store, key, *arguments)

    async def counted_write(store, conditions, *arguments, **fields):
        named = any(key.startswith(record.JOB_PREFIX) for key in conditions)
        counts['write'] += named
        return await write(store, conditions, *arguments, **fields)

    monkeypatch.setattr(platform_stores, 'read', counted_read)
    monkeypatch.setattr(platform_stores, 'write', counted_write)
    yield counts


def declare_pressure(monkeypatch) -> None:
    """Let all servers have settings under which admission is in force."""
    real = servers.settings_of

    def settings_of(process):
        return msgspec.structs.replace(
            real(process), contracts=('tenants', 'pressure')
        )

    monkeypatch.setattr(servers, 'settings_of', settings_of)


def fill_pool(monkeypatch) -> list[bool]:
    """Let each leader measure a full pool, while the returned list isn't
    empty.
    """
    full = [True]
    load = loads_.PoolLoad(
        100.0,
        100.0,
        1.5,
        2.0,
        accepted_core_s=900.0,
        by_tenant={FIRST: 900.0},
        is_waiting=True,
    )

    def measure(leader, limited, now_s):
        return {POOL: load} if full else {}

    def arrivals(leader, pools, now_s):
        row = loads_.Arrival(POOL, FIRST, 10.0, age_s=0.5)
        return [row] * 100 if full else []

    monkeypatch.setattr(admission_load, 'measure', measure)
    monkeypatch.setattr(admission_load, 'arrivals', arrivals)
    return full


def leading(rows: list[servers.Process]) -> servers.Process:
    """Give the server that leads."""
    (found,) = [row for row in rows if servers.leads(row)]
    return found


async def until_leading(rows: list[servers.Process]) -> servers.Process:
    """Wait until a server leads."""
    while not any(servers.leads(row) for row in rows):
        await curio.sleep(0.05)
    return leading(rows)
