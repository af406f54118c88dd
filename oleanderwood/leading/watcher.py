"""Following a range of the store: read it whole, then watch it."""

import collections.abc

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
Contact = collections.abc.Callable[[float], None]


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
    :param contact: gets the time at which an answered call was sent
    :param revision: of the store as all below the prefix was read; None if it
        wasn't yet
    """
    lost_s = None
    while True:
        sent_s = clock.now_s()
        try:
            if revision is None:
                found = await stores.read_range(store, prefix)
                await take(found.items, True)
            else:
                found = await stores.watch(store, prefix, revision, wait_s)
                if found.items:
                    await take(found.items, False)
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
        contact(sent_s)
