"""Access to the store over any transport: retries and lost answers.

A transport makes single attempts. This module repeats reads within a time
limit, finds out what became of writes whose answers were lost, and keeps
the daemon within its budget of calls.
"""

import collections
import collections.abc
import dataclasses
import random
import time
import typing

import curio

from oleanderwood import backoff as backoffs
from oleanderwood import call_budget
from oleanderwood import errors
from oleanderwood import ids
from oleanderwood import operations
from oleanderwood import store
from oleanderwood import verdict as verdicts

KEPT_KEYS = 256
"""Keys whose last writes are remembered, so that a swap needs no read."""


@dataclasses.dataclass(frozen=True)
class Transport:
    """Single attempts, all coroutine functions, on whole values.

    All raise :class:`errors.CallFailed` where no answer came.
    ``get(key)`` and ``watch(key, version, wait_s)`` give a
    :class:`store.Item` or None, ``watch`` raises :class:`TimeoutError`.
    ``put(key, value, version, lease)`` gives the new version, and it and
    ``delete(key, version)`` raise :class:`errors.StoreConflict`.
    """

    get: collections.abc.Callable
    put: collections.abc.Callable
    delete: collections.abc.Callable
    watch: collections.abc.Callable
    grant: collections.abc.Callable
    keep_alive: collections.abc.Callable


@dataclasses.dataclass(frozen=True)
class Timing:
    """Clock, sleep and random source, so that tests bring their own.

    :ivar watch_backoff: the same for watches, of which a daemon has many;
        it goes on from one call to the next while none is answered
    """

    backoff: backoffs.Backoff = backoffs.Backoff()
    watch_backoff: backoffs.Backoff = backoffs.Backoff(0.5, 4.0)
    clock: collections.abc.Callable[[], float] = time.monotonic
    sleep: collections.abc.Callable = curio.sleep
    rng: random.Random = dataclasses.field(default_factory=random.Random)


@dataclasses.dataclass
class Client:
    """State of one client.

    :ivar writes: last writes of the keys seen, newest use last
    :ivar unanswered: attempts to watch a key since the last answer, by key
    """

    transport: Transport
    timing: Timing
    budget: call_budget.CallBudget
    metrics: call_budget.Metrics | None
    writes: collections.OrderedDict[str, operations.Seen] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    unanswered: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )


def make(
    transport: Transport,
    budget: call_budget.CallBudget,
    metrics: call_budget.Metrics | None = None,
    timing: Timing | None = None,
) -> store.Store:
    """Make the store's interface over a transport."""
    client = Client(transport, timing or Timing(), budget, metrics)

    async def get(key):
        return await _get(client, key)

    async def swap(key, value, version, operation, lease=None):
        return await _swap(client, key, value, version, operation, lease)

    async def delete(key, version):
        await _delete(client, key, version)

    async def watch(key, version, wait_s):
        return await _watch(client, key, version, wait_s)

    async def grant(ttl_s):
        # An answer that was lost leaves a lease that lapses unused.
        return await _repeat(client, 'grant', transport.grant, ttl_s)

    async def keep_alive(lease):
        return await _repeat(client, 'keep-alive', transport.keep_alive, lease)

    return store.Store(get, swap, delete, watch, grant, keep_alive)


async def _attempt(
    client: Client, kind: str, call: typing.Any, *arguments: typing.Any
) -> typing.Any:
    """Make one call within the budget."""
    wait_s = call_budget.take(client.budget, client.timing.clock())
    if wait_s > 0:
        if client.metrics is not None:
            client.metrics.waited_s.inc(wait_s)
        await client.timing.sleep(wait_s)
    if client.metrics is not None:
        client.metrics.calls.labels(kind).inc()
    try:
        return await call(*arguments)
    except errors.CallFailed:
        if client.metrics is not None:
            client.metrics.failures.labels(kind).inc()
        raise


async def _pause(
    client: Client,
    backoff: backoffs.Backoff,
    attempt: int,
    deadline_s: float,
) -> bool:
    """Wait before a repeat; say False if there is no time for one."""
    timing = client.timing
    delay_s = backoffs.delay_s(backoff, attempt, timing.rng)
    if timing.clock() + delay_s > deadline_s:
        return False
    await timing.sleep(delay_s)
    return True


def _deadline_s(client: Client) -> float:
    return client.timing.clock() + client.timing.backoff.limit_s


async def _repeat(
    client: Client, kind: str, call: typing.Any, *arguments: typing.Any
) -> typing.Any:
    """Repeat an idempotent call until it is answered or time is up."""
    deadline_s = _deadline_s(client)
    attempt = 0
    while True:
        attempt += 1
        try:
            return await _attempt(client, kind, call, *arguments)
        except errors.CallFailed as error:
            backoff = client.timing.backoff
            if not await _pause(client, backoff, attempt, deadline_s):
                raise errors.StoreUnavailable(
                    error.verdict, f'store {kind}: {error.reason}'
                ) from error


async def _read(
    client: Client, kind: str, call: typing.Any, *arguments: typing.Any
) -> typing.Any:
    """Repeat a read; one that fails changed nothing, so it didn't run."""
    try:
        return await _repeat(client, kind, call, *arguments)
    except errors.StoreUnavailable as error:
        raise errors.StoreUnavailable(
            verdicts.Verdict.NOT_RUN, error.reason
        ) from error


async def _get(client: Client, key: str) -> store.Item | None:
    item = await _read(client, 'get', client.transport.get, key)
    return _opened(client, key, item)


async def _watch(
    client: Client, key: str, version: int, wait_s: float
) -> store.Item | None:
    deadline_s = _deadline_s(client)
    while True:
        try:
            item = await _attempt(
                client, 'watch', client.transport.watch, key, version, wait_s
            )
        except errors.CallFailed as error:
            client.unanswered[key] += 1
            if not await _pause_watch(client, key, deadline_s):
                raise errors.StoreUnavailable(
                    verdicts.Verdict.NOT_RUN, f'store watch: {error.reason}'
                ) from error
        except TimeoutError:
            del client.unanswered[key]
            raise
        else:
            del client.unanswered[key]
            return _opened(client, key, item)


async def _pause_watch(client: Client, key: str, deadline_s: float) -> bool:
    backoff = client.timing.watch_backoff
    return await _pause(client, backoff, client.unanswered[key], deadline_s)


def _opened(
    client: Client, key: str, item: store.Item | None
) -> store.Item | None:
    """Take the body out of its envelope and remember the writes."""
    if item is None:
        client.writes.pop(key, None)
        return None
    envelope = operations.unwrap(item.value)
    _remember(client, key, operations.Seen(item.version, envelope.writes))
    return dataclasses.replace(item, value=envelope.body)


def _remember(client: Client, key: str, seen: operations.Seen) -> None:
    client.writes[key] = seen
    client.writes.move_to_end(key)
    if len(client.writes) > KEPT_KEYS:
        client.writes.popitem(last=False)


async def _seen(client: Client, key: str) -> operations.Seen | None:
    """Read a key's version and writes anew."""
    if await _get(client, key) is None:
        return None
    return client.writes[key]


async def _earlier(
    client: Client, key: str, version: int
) -> tuple[operations.Write, ...]:
    """Give the writes of the value that is to be replaced.

    :raises errors.StoreConflict: the key isn't at ``version``
    """
    if version == store.ABSENT:
        return ()
    seen = client.writes.get(key)
    if seen is None or seen.version != version:
        seen = await _seen(client, key)
    if seen is None or seen.version != version:
        raise errors.StoreConflict(f'{key} is not at version {version}')
    return seen.writes


async def _swap(
    client: Client,
    key: str,
    body: bytes,
    version: int,
    operation: ids.OperationId,
    lease: str | None,
) -> int:
    earlier = await _earlier(client, key, version)
    value, writes = operations.wrap(earlier, operation, version, body)
    put = client.transport.put

    async def write():
        return await _attempt(client, 'put', put, key, value, version, lease)

    async def look():
        seen = await _seen(client, key)
        return operations.resolve_write(operation, version, seen)

    made = await _until_resolved(client, key, write, look)
    _remember(client, key, operations.Seen(made, writes))
    return made


async def _delete(client: Client, key: str, version: int) -> None:
    delete = client.transport.delete

    async def write():
        await _attempt(client, 'delete', delete, key, version)
        return store.ABSENT

    async def look():
        seen = await _seen(client, key)
        return operations.Resolution(operations.resolve_delete(version, seen))

    await _until_resolved(client, key, write, look)
    client.writes.pop(key, None)


async def _until_resolved(
    client: Client, key: str, write: typing.Any, look: typing.Any
) -> int:
    """Send a write until it is known what became of it.

    A conflict is an answer only as long as no earlier attempt of the same
    write may have run.
    """
    deadline_s = _deadline_s(client)
    attempt = 0
    doubtful = False
    while True:
        attempt += 1
        reason = 'answer was lost'
        try:
            return await write()
        except errors.StoreConflict:
            if not doubtful:
                raise
        except errors.CallFailed as error:
            reason = error.reason
            if error.verdict is not verdicts.Verdict.NOT_RUN:
                doubtful = True
        if doubtful:
            version = await _resolved(key, look)
            if version is not None:
                return version
        backoff = client.timing.backoff
        if not await _pause(client, backoff, attempt, deadline_s):
            raise _gave_up(key, doubtful, reason)


async def _resolved(key: str, look: typing.Any) -> int | None:
    """Read back; give the version made, or None if it may be repeated.

    :raises errors.StoreConflict: the write did not and can't run
    :raises errors.StoreUnavailable: nobody can say
    """
    try:
        resolution = await look()
    except errors.StoreUnavailable as error:
        raise _gave_up(key, True, error.reason) from error
    if resolution.outcome is operations.Outcome.RAN:
        return resolution.version
    if resolution.outcome is operations.Outcome.REPEAT:
        return None
    if resolution.outcome is operations.Outcome.CONFLICT:
        raise errors.StoreConflict(f'{key} was written by another')
    raise _gave_up(key, True, 'the trace of the write is gone')


def _gave_up(key: str, doubtful: bool, reason: str) -> errors.StoreUnavailable:
    verdict = verdicts.Verdict.NOT_RUN
    if doubtful:
        verdict = verdicts.Verdict.MAY_HAVE_RUN
    return errors.StoreUnavailable(verdict, f'store write of {key}: {reason}')
