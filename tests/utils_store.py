"""A store in memory with the faults that a platform's store shows."""

import collections.abc
import dataclasses
import random
import time

import curio

from oleanderwood import backoff
from oleanderwood import call_budget
from oleanderwood import errors
from oleanderwood import operations
from oleanderwood import store
from oleanderwood import store_client
from oleanderwood import verdict as verdicts

MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN
NOT_RUN = verdicts.Verdict.NOT_RUN


@dataclasses.dataclass
class Lease:
    """A lease; it lapses when not renewed for ``ttl_s``."""

    ttl_s: float
    until_s: float
    keys: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass
class FakeStore:
    """The store's state, and its faults, which tests set at any time.

    :ivar clock: seconds; tests with a clock of their own advance it
    :ivar down: every call fails before it has an effect
    :ivar drop_answers: so many of the next writes take effect, but their
        answers are lost
    :ivar hold_writes: so many of the next writes are lost for now; each
        takes effect once :func:`deliver_held` runs
    :ivar history: every version of every key: (key, version, value)
    """

    clock: collections.abc.Callable[[], float] = time.monotonic
    items: dict[str, store.Item] = dataclasses.field(default_factory=dict)
    versions: dict[str, int] = dataclasses.field(default_factory=dict)
    leases: dict[str, Lease] = dataclasses.field(default_factory=dict)
    down: bool = False
    drop_answers: int = 0
    hold_writes: int = 0
    held: list = dataclasses.field(default_factory=list)
    calls: int = 0
    granted: int = 0
    history: list = dataclasses.field(default_factory=list)
    poll_s: float = 0.005


def connect(
    fake: FakeStore,
    seed: int = 1,
    limit_s: float = 0.05,
    replaced: dict[str, collections.abc.Callable] | None = None,
) -> store.Store:
    """Make a client of the fake; its retries take next to no time.

    :param replaced: calls of the transport that are others'
    """
    short = backoff.Backoff(0.001, 0.004, limit_s)
    timing = store_client.Timing(
        backoff=short,
        watch_backoff=short,
        rng=random.Random(seed),
    )
    budget = call_budget.make(1e6, 1e6, time.monotonic())
    calls = dataclasses.replace(transport(fake), **(replaced or {}))
    return store_client.make(calls, budget, None, timing)


def transport(fake: FakeStore) -> store_client.Transport:
    """Make single attempts at the fake."""

    async def get(key):
        _reach(fake)
        return fake.items.get(key)

    async def watch(key, version, wait_s):
        _reach(fake)
        until_s = time.monotonic() + wait_s
        while True:
            item = fake.items.get(key)
            if (item.version if item else store.ABSENT) != version:
                return item
            if time.monotonic() >= until_s:
                raise TimeoutError(key)
            await curio.sleep(fake.poll_s)
            _reach(fake)

    async def put(key, value, version, lease):
        return _write(fake, lambda: _put(fake, key, value, version, lease))

    async def delete(key, version):
        return _write(fake, lambda: _delete(fake, key, version))

    async def grant(ttl_s):
        def effect():
            fake.granted += 1
            name = f'lease-{fake.granted}'
            fake.leases[name] = Lease(ttl_s, fake.clock() + ttl_s)
            return name

        return _write(fake, effect)

    async def keep_alive(lease):
        _reach(fake)
        found = fake.leases.get(lease)
        if found is None or found.until_s <= fake.clock():
            return 0.0
        found.until_s = fake.clock() + found.ttl_s
        return found.ttl_s

    return store_client.Transport(get, put, delete, watch, grant, keep_alive)


def lapse(fake: FakeStore, lease: str) -> None:
    """Let a lease lapse now, as if its holder had been paused."""
    fake.leases[lease].until_s = fake.clock()
    _expire(fake)


def deliver_held(fake: FakeStore) -> None:
    """Let the held writes arrive late, in reverse order."""
    while fake.held:
        effect = fake.held.pop()
        try:
            effect()
        except errors.StoreConflict:
            continue


def body(fake: FakeStore, key: str) -> bytes | None:
    """Give a key's body without its envelope."""
    item = fake.items.get(key)
    return None if item is None else operations.unwrap(item.value).body


def _reach(fake: FakeStore) -> None:
    fake.calls += 1
    if fake.down:
        raise errors.CallFailed(NOT_RUN, 'store is down')
    _expire(fake)


def _write(fake: FakeStore, effect):
    _reach(fake)
    if fake.hold_writes > 0:
        fake.hold_writes -= 1
        fake.held.append(effect)
        raise errors.CallFailed(MAY_HAVE_RUN, 'no answer')
    result = effect()
    if fake.drop_answers > 0:
        fake.drop_answers -= 1
        raise errors.CallFailed(MAY_HAVE_RUN, 'answer dropped')
    return result


def _put(fake: FakeStore, key, value, version, lease) -> int:
    _check(fake, key, version)
    if lease is not None:
        if lease not in fake.leases:
            raise errors.StoreConflict(f'{lease} has lapsed')
        fake.leases[lease].keys.add(key)
    made = fake.versions.get(key, 0) + 1
    fake.versions[key] = made
    fake.items[key] = store.Item(key, value, made)
    fake.history.append((key, made, value))
    return made


def _delete(fake: FakeStore, key, version) -> None:
    _check(fake, key, version)
    if key in fake.items:
        _remove(fake, key)


def _check(fake: FakeStore, key, version) -> None:
    item = fake.items.get(key)
    if (item.version if item else store.ABSENT) != version:
        raise errors.StoreConflict(f'{key} is not at {version}')


def _remove(fake: FakeStore, key) -> None:
    del fake.items[key]
    fake.versions[key] += 1
    fake.history.append((key, fake.versions[key], None))


def _expire(fake: FakeStore) -> None:
    for name, lease in list(fake.leases.items()):
        if lease.until_s <= fake.clock():
            for key in lease.keys & fake.items.keys():
                _remove(fake, key)
            del fake.leases[name]
