"""Tests of upkeep: applies whose daemons died come to an end."""

import pytest

from oleanderwood import admin_messages
from oleanderwood import errors
from oleanderwood import operators
from oleanderwood import staging
from oleanderwood import store
from oleanderwood import upkeep
from tests import test_apply_death
from tests import utils_admin
from tests import utils_network

STALE_S = 100.0


def _body(**pool):
    return admin_messages.ApplyBody(utils_admin.toml(**pool))


class Clock:
    """A clock that a test sets."""

    now_s = 0.0

    def __call__(self):
        return self.now_s


def _upkeep(place, clock):
    desk = place.desk
    return upkeep.Upkeep(desk.links.kept, desk.new_operation, STALE_S, clock)


@pytest.mark.parametrize('at', [8, 9, 11])
def test_apply_whose_daemon_died_comes_to_an_end(at):
    """Its parts go, and entries are in doubt no longer; nothing reverts."""
    place = utils_admin.make(('e1', 'e2'))
    other = utils_admin.second(place)
    clock = Clock()
    keeping = _upkeep(other, clock)

    async def scenario():
        await operators.run_apply(other.desk, _body())
        death = test_apply_death.Death(at, False)
        await test_apply_death.apply_and_die(place, death)
        before = utils_admin.head(place)
        await upkeep.look(keeping)
        clock.now_s = STALE_S / 2
        await upkeep.look(keeping)
        assert len(utils_admin.records(place)) == 2
        clock.now_s = STALE_S + 1
        await upkeep.look(keeping)
        assert utils_admin.head(place) == before
        named = set(before.parts.values())
        assert utils_admin.stored_parts(place) == named
        assert len(utils_admin.records(place)) == 1
        await utils_network.until(
            lambda: (
                not any(
                    node.view.config.stages
                    for node in place.network.members.values()
                )
            )
        )

    utils_admin.run(place, scenario)


def test_slow_daemon_finds_the_head_fenced():
    place = utils_admin.make(('e1',))
    clock = Clock()
    keeping = _upkeep(place, clock)

    async def scenario():
        await operators.run_apply(place.desk, _body())
        kept = place.desk.links.kept
        slow = await staging.read_current(kept)
        death = test_apply_death.Death(11, False)
        await test_apply_death.apply_and_die(utils_admin.second(place), death)
        await upkeep.look(keeping)
        clock.now_s = STALE_S + 1
        await upkeep.look(keeping)
        with pytest.raises(errors.StoreConflict):
            await kept.swap(
                store.CONFIG_HEAD_KEY, b'', slow.version, 'slow', None
            )

    utils_admin.run(place, scenario)


def test_nothing_is_written_where_all_is_decided():
    place = utils_admin.make(('e1',))
    clock = Clock()
    keeping = _upkeep(place, clock)

    async def scenario():
        await operators.run_apply(place.desk, _body())
        writes = len(place.network.fake.history)
        for _ in range(3):
            clock.now_s += STALE_S
            await upkeep.look(keeping)
        assert len(place.network.fake.history) == writes

    utils_admin.run(place, scenario)
