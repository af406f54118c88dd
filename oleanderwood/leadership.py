"""Access to the leadership of a region: a key under a store lease.

The lease keeps the number of leaders at about one; it protects nothing. A
leader that was paused past its lease is stopped by the term in the shards
(:mod:`oleanderwood.region_shards`). The term lives there and not under
``leader/REGION``, since a lapsed lease deletes that key.
"""

import collections.abc
import dataclasses
import logging

import msgspec

from oleanderwood import codec
from oleanderwood import errors
from oleanderwood import ids
from oleanderwood import store as stores

LOG = logging.getLogger('leadership')

TTL_S = 8.0
RENEW_S = 2.0
CLOCK_MARGIN = 0.8
"""Share of the lease's time that its holder counts on."""


class Record(msgspec.Struct, frozen=True):
    """Who leads a region; ``address`` is that of its state dump."""

    holder: ids.HolderId
    address: ids.Address = ids.Address('')


@dataclasses.dataclass
class Seat:
    """A candidate, and its lease while it leads.

    :ivar lease: '' while it doesn't lead
    :ivar held_until_s: monotonic time up to which the lease is counted on
    """

    region: ids.Region
    record: Record
    lease: str = ''
    held_until_s: float = 0.0


def key(region: ids.Region) -> str:
    """Name the store's key of a region's leader."""
    return f'{stores.LEADER_PREFIX}{region}'


def holds(seat: Seat, now_s: float) -> bool:
    """Say whether the lease is surely held.

    :param now_s: monotonic
    """
    return bool(seat.lease) and now_s < seat.held_until_s


def held_until_s(asked_at_s: float, ttl_s: float) -> float:
    """Give the time to count on, from when the lease was asked for."""
    return asked_at_s + ttl_s * CLOCK_MARGIN


async def claim(
    store: stores.Store,
    seat: Seat,
    now_s: collections.abc.Callable[[], float],
    new_id: collections.abc.Callable[[], str],
) -> bool:
    """Try to become the leader; say whether that worked.

    :raises errors.StoreUnavailable: the store didn't answer
    """
    if await store.get(key(seat.region)) is not None:
        return False
    asked_at_s = now_s()
    lease = await store.grant(TTL_S)
    operation = ids.OperationId(f'lead-{new_id()}')
    value = codec.pack(seat.record)
    try:
        await store.swap(
            key(seat.region), value, stores.ABSENT, operation, lease
        )
    except errors.StoreConflict:
        return False
    seat.lease = lease
    seat.held_until_s = held_until_s(asked_at_s, TTL_S)
    LOG.info('Leads region %s.', seat.region)
    return True


async def renew(
    store: stores.Store,
    seat: Seat,
    now_s: collections.abc.Callable[[], float],
) -> bool:
    """Renew the lease; False once it has lapsed.

    :raises errors.StoreUnavailable: the store didn't answer
    """
    asked_at_s = now_s()
    ttl_s = await store.keep_alive(seat.lease)
    if ttl_s <= 0:
        give_up(seat)
        return False
    seat.held_until_s = held_until_s(asked_at_s, ttl_s)
    return True


def give_up(seat: Seat) -> None:
    """Forget the lease."""
    LOG.info('No longer leads region %s.', seat.region)
    seat.lease = ''
    seat.held_until_s = 0.0


async def resign(store: stores.Store, seat: Seat) -> None:
    """Free the leadership, so that another need not wait for the lease.

    :raises errors.StoreUnavailable: the store didn't answer
    """
    if not seat.lease:
        return
    item = await store.get(key(seat.region))
    if item is not None:
        record = codec.unpack(item.value, Record)
        if record.holder == seat.record.holder:
            await store.delete(item.key, item.version)
    give_up(seat)
