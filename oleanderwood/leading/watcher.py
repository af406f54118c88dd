"""Follows a key range of the store: reads it completely, then watches it."""

import collections.abc
import dataclasses

import curio

from oleanderwood import clock
from oleanderwood import codec
from oleanderwood import errors
from oleanderwood import event_log
from oleanderwood import log_limit
from oleanderwood.platform import store as stores
from oleanderwood import server_metrics

RETRY_PAUSE_S = 0.15
"""Pause after a failed call, in seconds; each follower calls a store that is
down about seven times per second."""

OnItems = collections.abc.Callable[
    [list[stores.Item], bool], collections.abc.Awaitable[None]
]


@dataclasses.dataclass(frozen=True)
class StoreContact:
    """How a follower of the store and the rest of the server notify each
    other.

    :ivar on_answer: called with the send time of each answered call
    :ivar store_back: set when the store answers again after an outage
    """

    on_answer: collections.abc.Callable[
        [float], collections.abc.Awaitable[None]
    ]
    store_back: curio.Event


MAX_LINES_PER_S = 10
"""Values that are logged per second as ones that can't be applied; a writer
may repeat one forever."""

_refusals = log_limit.LineLimit()


async def apply_each(
    prefix: str,
    items: collections.abc.Iterable[stores.Item],
    apply: collections.abc.Callable[
        [stores.Item], collections.abc.Awaitable[None]
    ],
) -> None:
    """Apply items one by one; one that can't be applied is passed over.

    Anybody may write anything below a followed prefix, and an exception would
    end the server's process or its term, and each following one, for as long
    as the value stands.

    :param prefix: the prefix that is followed, for the metric
    """
    for item in items:
        try:
            await apply(item)
        except (errors.InvariantBreach, errors.CallFailed):
            # These concern the server and not the value.
            raise
        except Exception as error:
            refuse(prefix, item, error)


def refuse(prefix: str, item: stores.Item, error: Exception) -> None:
    """Count and log a value that can't be applied."""
    server_metrics.VALUES_REFUSED.labels(prefix).inc()
    if not log_limit.allows(_refusals, MAX_LINES_PER_S, clock.now_s()):
        return
    event_log.emit(
        'store',
        'value-refused',
        key=item.key,
        revision=item.revision,
        why=f'{type(error).__name__}: {error}'[: codec.MAX_REASON_CHARS],
        untold=log_limit.take_suppressed(_refusals),
    )


async def follow(
    store: stores.Store,
    prefix: str,
    wait_s: float,
    on_items: OnItems,
    contact: StoreContact,
    revision: int | None = None,
) -> None:
    """Pass on all items below a prefix, and their changes, until cancelled.

    :param wait_s: maximum duration of one watch; a dead connection is detected
        after it
    :param on_items: called with changes, including removals; or, with True as
        its second argument, with all items: first, and whenever changes were
        missed
    :param revision: revision of the store at which all items below the prefix
        were read; None if they were not read yet
    """
    lost_since_s = None
    while True:
        sent_s = clock.now_s()
        try:
            if revision is None:
                call = stores.read_range(store, prefix)
            else:
                call = stores.watch(store, prefix, revision, wait_s)
            found = await _call_until_back(call, contact.store_back)
            if found is None:
                event_log.emit('store', 'asked-anew', prefix=prefix)
                continue
            whole = revision is None
            if found.items or whole:
                await on_items(found.items, whole)
            revision = max(revision or 0, found.revision)
        except stores.HistoryLost:
            event_log.emit('store', 'history-lost', prefix=prefix)
            revision = None
            continue
        except errors.CallFailed as error:
            if lost_since_s is None:
                lost_since_s = sent_s
                event_log.emit(
                    'store', 'lost', prefix=prefix, why=error.reason
                )
            await curio.sleep(RETRY_PAUSE_S)
            continue
        if lost_since_s is not None:
            after_s = round(clock.now_s() - lost_since_s, 2)
            event_log.emit('store', 'back', prefix=prefix, after_s=after_s)
            lost_since_s = None
        await contact.on_answer(sent_s)


async def _call_until_back(
    call: collections.abc.Awaitable[stores.Items], store_back: curio.Event
) -> stores.Items | None:
    """Call the store; return None if it came back meanwhile.

    A call to a store that then became unreachable may never be answered.
    Without this check, changes, such as a new leader, would be seen up to one
    watch duration after the store is back.

    :raises stores.HistoryLost: the range must be read anew
    :raises errors.CallFailed: the store did not answer
    """
    async with curio.TaskGroup(wait=any) as group:
        asking = await group.spawn(_call_outcome, call)
        waiting = await group.spawn(store_back.wait)
    if group.completed is waiting and waiting.exception is None:
        return None
    if isinstance(asking.result, Exception):
        raise asking.result
    return asking.result


async def _call_outcome(
    call: collections.abc.Awaitable[stores.Items],
) -> stores.Items | errors.CallFailed | stores.HistoryLost:
    """Return an expected failure as a value, as exceptions of tasks are
    logged.
    """
    try:
        return await call
    except (errors.CallFailed, stores.HistoryLost) as error:
        return error
