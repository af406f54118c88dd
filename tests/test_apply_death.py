"""Tests of an apply whose daemon dies at any of its calls to the store."""

import dataclasses

import curio
import pytest

from oleanderwood import admin_messages
from oleanderwood import operators
from oleanderwood import rollout
from oleanderwood import staging
from tests import utils_admin
from tests import utils_network

CALLS = 18
"""Calls to the store that an apply of one change makes."""


def _body(**pool):
    return admin_messages.ApplyBody(utils_admin.toml(**pool), author='ana')


@dataclasses.dataclass
class Death:
    """Where the daemon dies: at the nth call, before or after its effect."""

    at: int
    after: bool
    calls: int = 0
    reached: curio.Event = dataclasses.field(default_factory=curio.Event)


def _dying(kept, death):
    """Make a store that never answers the nth call, nor any later one."""

    def dying(call):
        async def attempt(*arguments):
            death.calls += 1
            if death.calls == death.at and death.after:
                await call(*arguments)
            if death.calls >= death.at:
                await death.reached.set()
                await curio.sleep(3600)
            return await call(*arguments)

        return attempt

    return dataclasses.replace(
        kept,
        get=dying(kept.get),
        swap=dying(kept.swap),
        delete=dying(kept.delete),
    )


async def apply_and_die(place, death):
    links = place.desk.links
    dying = dataclasses.replace(links, kept=_dying(links.kept, death))
    place.desk.links = dying
    task = await curio.spawn(
        operators.run_apply, place.desk, _body(size=7), daemon=True
    )
    await death.reached.wait()
    await task.cancel()


@pytest.mark.parametrize('after', [False, True])
@pytest.mark.parametrize('at', range(1, CALLS + 1))
def test_death_leaves_all_or_nothing_in_force(at, after):
    place = utils_admin.make(('e1', 'e2'))
    other = utils_admin.second(place)

    async def scenario():
        await operators.run_apply(other.desk, _body())
        await apply_and_die(place, Death(at, after))
        current = await staging.read_current(other.desk.links.kept)
        assert current.whole.pools[0].size == 5 + current.head.revision
        standing = [current.head.revision] * 2
        await utils_network.until(
            lambda: utils_admin.in_force(place) == standing
        )
        applied = await operators.run_apply(other.desk, _body(size=8))
        assert applied.outcome is rollout.Outcome.ACCEPTED
        head = utils_admin.head(place)
        assert head.revision == current.head.revision + 1
        named = set(head.parts.values())
        assert utils_admin.stored_parts(place) == named
        assert all(
            not node.view.config.stages
            for node in place.network.members.values()
        )

    utils_admin.run(place, scenario)


def test_the_calls_of_an_apply_are_those_counted():
    """The deaths above cover each call; an apply makes no more of them."""
    place = utils_admin.make(('e1', 'e2'))

    async def scenario():
        await operators.run_apply(place.desk, _body())
        death = Death(at=1000, after=False)
        links = place.desk.links
        kept = _dying(links.kept, death)
        place.desk.links = dataclasses.replace(links, kept=kept)
        await operators.run_apply(place.desk, _body(size=7))
        assert death.calls == CALLS

    utils_admin.run(place, scenario)


def test_death_without_a_record_is_caught(monkeypatch):
    """Planted defect: parts are written that no record names."""

    async def stage(kept, current, staged, wanted):
        return None

    monkeypatch.setattr(staging, 'stage', stage)
    with pytest.raises(AssertionError):
        for at in range(1, CALLS):
            test_death_leaves_all_or_nothing_in_force(at, True)
