"""Following a range of the store: read it whole, then watch it."""

import collections.abc
import dataclasses

import curio

from oleanderwood import clock
from oleanderwood import errors
from oleanderwood import event_log
from oleanderwood.platform import store as stores

PAUSE_S = 0.15
"""Pause after a failed call; a store that is down is asked about seven
times a second by each follower."""

Take = collections.abc.Callable[
    [list[stores.Item], bool], collections.abc.Awaitable[None]
]


@dataclasses.dataclass(frozen=True)
class Contact:
    """What a follower and the rest of the server tell each other of the store.

    :ivar note: gets the time at which an answered call was sent
    :ivar back: is set as the store answers again after a gap
    """

    note: collections.abc.Callable[[float], collections.abc.Awaitable[None]]
    back: curio.Event


async def follow(
    store: stores.Store,
    prefix: str,
    wait_s: float,
    take: Take,
    contact: Contact,
    revision: int | None = None,
) -> None:
    """Pass on what lies below a prefix, and its changes, until cancelled.

    :param wait_s: longest wait of one watch; a connection that went silent
        is found after it
    :param take: gets changes, removals too; or, if its second argument is
        True, all items: at first and whenever changes were missed
    :param revision: of the store as all below the prefix was read; None if it
        wasn't yet
    """
    lost_s = None
    while True:
        sent_s = clock.now_s()
        try:
            if revision is None:
                call = stores.read_range(store, prefix)
            else:
                call = stores.watch(store, prefix, revision, wait_s)
            found = await _until_back(call, contact.back)
            if found is None:
                event_log.emit('store', 'asked-anew', prefix=prefix)
                continue
            whole = revision is None
            if found.items or whole:
                await take(found.items, whole)
            revision = max(revision or 0, found.revision)
        except stores.HistoryLost:
            event_log.emit('store', 'history-lost', prefix=prefix)
            revision = None
            continue
        except errors.CallFailed as error:
            if lost_s is None:
                lost_s = sent_s
                event_log.emit(
                    'store', 'lost', prefix=prefix, why=error.reason
                )
            await curio.sleep(PAUSE_S)
            continue
        if lost_s is not None:
            after_s = round(clock.now_s() - lost_s, 2)
            event_log.emit('store', 'back', prefix=prefix, after_s=after_s)
            lost_s = None
        await contact.note(sent_s)


async def _until_back(
    call: collections.abc.Awaitable[stores.Items], back: curio.Event
) -> stores.Items | None:
    """Make a call to the store; None if the store came back meanwhile.

    A call that a silent store has taken is never answered. Without this, who
    leads would be heard of up to a watch's time after the store is back.

    :raises stores.HistoryLost: read the range anew
    :raises errors.CallFailed: the store didn't answer
    """
    async with curio.TaskGroup(wait=any) as group:
        asking = await group.spawn(_outcome, call)
        waiting = await group.spawn(back.wait)
    if group.completed is waiting and waiting.exception is None:
        return None
    if isinstance(asking.result, Exception):
        raise asking.result
    return asking.result


async def _outcome(
    call: collections.abc.Awaitable[stores.Items],
) -> stores.Items | errors.CallFailed | stores.HistoryLost:
    """Give an expected failure as a value: a task's exception is logged."""
    try:
        return await call
    except (errors.CallFailed, stores.HistoryLost) as error:
        return error
