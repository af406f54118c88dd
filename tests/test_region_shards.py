"""Tests of region_shards and leadership: fencing and the lease."""

import curio
import pytest

from oleanderwood import errors
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import leadership
from oleanderwood import ownership
from oleanderwood import region_shards
from tests import utils_controller as utils
from tests import utils_store

CENTRES = (ids.DataCentre('a'), ids.DataCentre('b'))
ROW = fleet.VmRow(
    ids.VmId('v1'),
    ids.PoolId('p'),
    fleet.VmState.SERVING,
    ids.Epoch(0),
    ids.Rack('r'),
    ids.Address('127.0.0.1:1'),
)
JOIN = ownership.Change(CENTRES[0], None, ROW, ownership.Cause.JOINED)


def _new_id(numbers=iter(range(10**6))):
    return str(next(numbers))


async def _write(store, footing):
    await region_shards.write(store, footing, CENTRES[0], [JOIN], 1, _new_id)


def test_new_leader_raises_the_term_and_stops_the_earlier_one():
    async def main():
        fake = utils_store.FakeStore()
        store = utils_store.connect(fake)
        earlier = await region_shards.fence(store, CENTRES, _new_id)
        later = await region_shards.fence(store, CENTRES, _new_id)
        assert later.term == earlier.term + 1
        with pytest.raises(errors.StoreConflict):
            await _write(store, earlier)
        assert earlier.lost
        await _write(store, later)
        assert not later.lost

    curio.run(main)


def test_write_whose_answer_is_lost_can_not_arrive_after_a_new_fence():
    async def main():
        fake = utils_store.FakeStore()
        store = utils_store.connect(fake, limit_s=0.004)
        footing = await region_shards.fence(store, CENTRES, _new_id)
        fake.hold_writes = 100
        with pytest.raises(errors.StoreUnavailable):
            await _write(store, footing)
        fake.hold_writes = 0
        assert footing.lost
        again = await region_shards.fence(store, CENTRES, _new_id)
        utils_store.deliver_held(fake)
        await _write(store, again)

    curio.run(main)


def _seat(name):
    record = leadership.Record(ids.HolderId(name))
    return leadership.Seat(utils.REGION, record)


def test_one_of_two_candidates_leads_until_its_lease_lapses():
    async def main():
        now_s = [100.0]
        clock = lambda: now_s[0]  # noqa: E731
        fake = utils_store.FakeStore(clock=clock)
        store = utils_store.connect(fake)
        seats = [_seat('c1'), _seat('c2')]
        assert await leadership.claim(store, seats[0], clock, _new_id)
        assert not await leadership.claim(store, seats[1], clock, _new_id)
        now_s[0] += leadership.TTL_S - 1
        assert not leadership.holds(seats[0], clock())
        assert await leadership.renew(store, seats[0], clock)
        assert leadership.holds(seats[0], clock())
        now_s[0] += leadership.TTL_S
        assert await leadership.claim(store, seats[1], clock, _new_id)
        assert not await leadership.renew(store, seats[0], clock)
        await leadership.resign(store, seats[0])
        assert await store.get(leadership.key(utils.REGION)) is not None
        await leadership.resign(store, seats[1])
        assert await store.get(leadership.key(utils.REGION)) is None

    curio.run(main)
