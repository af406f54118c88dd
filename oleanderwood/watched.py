"""Access to values of the store that a daemon watches.

A watched value costs one waiting call, however often it is read here.
"""

import collections.abc
import dataclasses
import logging
import random

import curio

from oleanderwood import errors
from oleanderwood import store as stores

LOG = logging.getLogger('watched')

WAIT_S = 25.0
RETRY_S = 1.0


@dataclasses.dataclass
class Watched:
    """The newest known value of some keys.

    :ivar items: by key; a key that was never read is missing
    :ivar changed: set at each new value, for whoever waits
    :ivar lost: the store gave no answer since this was last cleared
    """

    store: stores.Store
    rng: random.Random
    items: dict[str, stores.Item | None] = dataclasses.field(
        default_factory=dict
    )
    changed: curio.Event = dataclasses.field(default_factory=curio.Event)
    lost: bool = False


async def read(watched: Watched, key: str) -> stores.Item | None:
    """Give a key's newest known value; the first read asks the store.

    :raises errors.StoreUnavailable: the store didn't answer
    """
    if key not in watched.items:
        watched.items[key] = await watched.store.get(key)
    return watched.items[key]


async def follow(
    watched: Watched, keys: collections.abc.Iterable[str]
) -> None:
    """Watch some keys until cancelled."""
    async with curio.TaskGroup(wait=all) as group:
        for key in keys:
            await group.spawn(_follow, watched, key)


async def _follow(watched: Watched, key: str) -> None:
    while True:
        known = watched.items.get(key)
        version = stores.ABSENT if known is None else known.version
        wait_s = WAIT_S * watched.rng.uniform(0.8, 1.0)
        try:
            item = await watched.store.watch(key, version, wait_s)
        except TimeoutError:
            continue
        except errors.StoreUnavailable as error:
            LOG.warning('%s: %s.', key, error)
            watched.lost = True
            await curio.sleep(RETRY_S * watched.rng.uniform(0.5, 1.0))
            continue
        watched.items[key] = item
        await watched.changed.set()
