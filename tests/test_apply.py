"""Tests of apply against real entry views, a fake store and its faults."""

import dataclasses

import curio
import pytest

from oleanderwood import admin_messages
from oleanderwood import apply
from oleanderwood import change
from oleanderwood import configuration
from oleanderwood import errors
from oleanderwood import history
from oleanderwood import ids
from oleanderwood import operators
from oleanderwood import rollout
from oleanderwood import staging
from oleanderwood import store
from tests import utils_admin
from tests import utils_network
from tests import utils_store

Outcome = rollout.Outcome


async def _apply(place, base=None, operation='', **pool):
    body = admin_messages.ApplyBody(
        utils_admin.toml(**pool), base, 'ana', ids.OperationId(operation)
    )
    return await operators.run_apply(place.desk, body)


def _check_clean(place):
    """Check that the store holds the head's parts and no other."""
    assert utils_admin.stored_parts(place) == set(
        utils_admin.head(place).parts.values()
    )


def test_apply_is_in_force_everywhere():
    place = utils_admin.make()

    async def scenario():
        applied = await _apply(place)
        assert (applied.outcome, applied.revision) == (Outcome.ACCEPTED, 1)
        assert applied.missing == () and applied.reason == ''
        assert utils_admin.in_force(place) == [1, 1, 1]
        applied = await _apply(place, base=1, size=7)
        assert utils_admin.in_force(place) == [2, 2, 2]
        assert utils_admin.head(place).author == 'ana'
        _check_clean(place)
        outcomes = [r.outcome for r in utils_admin.records(place)]
        assert outcomes == [history.Outcome.ACCEPTED] * 2

    utils_admin.run(place, scenario)


def test_same_file_again_is_no_new_revision():
    place = utils_admin.make(names=('e1',))

    async def scenario():
        await _apply(place)
        again = await _apply(place)
        assert (again.outcome, again.revision) == (Outcome.ACCEPTED, 1)
        assert utils_admin.head(place).revision == 1

    utils_admin.run(place, scenario)


def test_old_base_is_a_conflict_that_names_the_winner():
    place = utils_admin.make(names=('e1',))

    async def scenario():
        await _apply(place)
        late = await _apply(place, base=0, size=7)
        assert late.outcome is Outcome.CONFLICT
        assert (late.revision, late.author) == (1, 'ana')
        assert utils_admin.in_force(place) == [1]
        _check_clean(place)

    utils_admin.run(place, scenario)


def test_race_has_one_winner_and_nothing_of_the_loser_stays():
    place = utils_admin.make()
    other = utils_admin.second(place)

    async def scenario():
        await _apply(place)
        async with curio.TaskGroup() as group:
            await group.spawn(_resize, place, 'one', 7)
            await group.spawn(_resize, other, 'two', 8)
        outcomes = [applied.outcome for applied in group.results]
        assert sorted(o.value for o in outcomes) == ['accepted', 'conflict']
        assert utils_admin.head(place).revision == 2
        await operators.read_history(place.desk)
        _check_clean(place)
        await utils_network.until(
            lambda: utils_admin.in_force(place) == [2, 2, 2]
        )

    async def _resize(of, operation, size):
        return await _apply(of, 1, operation, size=size)

    utils_admin.run(place, scenario)


def test_unreachable_member_blocks_and_is_named():
    place = utils_admin.make(prepare_limit_s=0.2)

    async def scenario():
        await _apply(place)
        cut = place.network.members[_peer(place, 'e2')]
        place.network.cut.add(cut.view.member.peer)
        refused = await _apply(place, size=7)
        assert refused.outcome is Outcome.NOT_RUN
        assert 'e2' in refused.reason
        assert utils_admin.head(place).revision == 1
        assert len(utils_admin.records(place)) == 1
        _check_clean(place)
        stages = [n.view.config.stages for n in _others(place, 'e2')]
        assert stages == [{}, {}]

    utils_admin.run(place, scenario)


def _peer(place, name):
    for address, node in place.network.members.items():
        if node.view.member.entry == name:
            return address
    raise KeyError(name)


def _others(place, name):
    nodes = place.network.members.values()
    return [n for n in nodes if n.view.member.entry != name]


def test_member_proven_gone_does_not_block():
    place = utils_admin.make()

    async def scenario():
        place.network.cut.add(_peer(place, 'e2'))
        place.gone.add('e2')
        applied = await _apply(place)
        assert applied.outcome is Outcome.ACCEPTED

    utils_admin.run(place, scenario)


def test_member_that_joins_during_the_roll_out_is_told():
    place = utils_admin.make(names=('e1',))
    late = utils_network.add(place.network, 'e9')

    async def scenario():
        applied = await _apply(place)
        assert applied.outcome is Outcome.ACCEPTED
        await utils_network.until(
            lambda: (
                late.view.config.head is not None
                and late.view.config.head.revision == 1
            )
        )

    utils_admin.run(place, scenario)


def test_lost_answer_of_the_swap_is_resolved_by_reading_back():
    place = utils_admin.make(names=('e1',))

    async def scenario():
        await _apply(place)
        place.network.fake.drop_answers = 1000
        applied = await _apply(place, size=7)
        place.network.fake.drop_answers = 0
        assert applied.outcome is Outcome.ACCEPTED
        assert utils_admin.head(place).revision == 2

    utils_admin.run(place, scenario)


def _fail_head_swap(place, effect):
    """Let the swap of the head end in doubt, with or without effect."""
    kept = place.desk.links.kept

    async def swap(key, value, version, operation, lease):
        if key != store.CONFIG_HEAD_KEY:
            return await kept.swap(key, value, version, operation, lease)
        if effect:
            await kept.swap(key, value, version, operation, lease)
        raise errors.StoreUnavailable(
            utils_store.MAY_HAVE_RUN, 'no answer in time'
        )

    return store.Store(
        kept.get, swap, kept.delete, kept.watch, kept.grant, kept.keep_alive
    )


@pytest.mark.parametrize('effect', [True, False])
def test_doubtful_swap_is_told_and_status_resolves_it(effect):
    place = utils_admin.make(names=('e1',))

    async def scenario():
        await _apply(place)
        links = place.desk.links
        broken = _fail_head_swap(place, effect)
        place.desk.links = _with_store(links, broken)
        doubtful = await _apply(place, operation='op-x', size=7)
        assert doubtful.outcome is Outcome.MAY_HAVE_RUN
        assert doubtful.operation == 'op-x'
        place.desk.links = links
        found = await operators.status(place.desk, ids.OperationId('op-x'))
        wanted = (history.Outcome.STAGED, history.Outcome.ACCEPTED)[effect]
        assert found.operation.outcome is wanted
        if effect:
            await utils_network.until(
                lambda: utils_admin.in_force(place) == [2]
            )
            return
        await _apply(place, size=8)
        found = await operators.status(place.desk, ids.OperationId('op-x'))
        assert found.operation.outcome is history.Outcome.REFUSED
        _check_clean(place)

    utils_admin.run(place, scenario)


def _with_store(links, kept):
    return dataclasses.replace(links, kept=kept)


def test_store_down_is_not_run():
    place = utils_admin.make(names=('e1',))

    async def scenario():
        place.network.fake.down = True
        with pytest.raises(errors.StoreUnavailable) as caught:
            await _apply(place)
        assert caught.value.verdict is utils_store.NOT_RUN
        place.network.fake.down = False
        assert utils_admin.head(place) is None

    utils_admin.run(place, scenario)


@pytest.mark.parametrize('failing', [1, 2, 3, 4])
def test_read_whose_answer_was_cut_is_not_run(failing):
    """Reads before the first write changed nothing."""
    place = utils_admin.make(names=('e1',))
    calls = []

    async def scenario():
        await _apply(place)
        kept = place.desk.links.kept

        async def get(key):
            calls.append(key)
            if len(calls) == failing:
                raise errors.StoreUnavailable(utils_store.MAY_HAVE_RUN, 'cut')
            return await kept.get(key)

        broken = dataclasses.replace(kept, get=get)
        place.desk.links = _with_store(place.desk.links, broken)
        with pytest.raises(errors.StoreUnavailable) as caught:
            await _apply(place, size=7)
        assert caught.value.verdict is utils_store.NOT_RUN

    utils_admin.run(place, scenario)


def test_operation_id_is_not_taken_twice():
    place = utils_admin.make(names=('e1',))

    async def scenario():
        await _apply(place, operation='op-x')
        with pytest.raises(errors.StoreConflict):
            await _apply(place, operation='op-x', size=7)
        _check_clean(place)

    utils_admin.run(place, scenario)


def test_fence_ends_a_swap_under_way():
    """A head written anew makes a swap that was sent before conflict."""
    place = utils_admin.make(names=('e1',))

    async def scenario():
        await _apply(place)
        kept = place.desk.links.kept
        current = await staging.read_current(kept)
        await staging.fence(kept, ids.OperationId('fence'))
        with pytest.raises(errors.StoreConflict):
            await kept.swap(
                store.CONFIG_HEAD_KEY, b'', current.version, 'late', None
            )
        assert utils_admin.head(place).revision == 1

    utils_admin.run(place, scenario)


def test_applies_whose_daemons_died_are_cleared():
    """Each left a record and a part; they block no later apply for good."""
    place = utils_admin.make(names=('e1',))
    kept = place.desk.links.kept

    async def scenario():
        await _apply(place)
        operation = utils_admin.head(place).operation
        for number in range(history.MAX_STAGED):
            await _leave_behind(kept, f'dead-{number}', operation)
        with pytest.raises(staging.TooMany):
            await _apply(place, size=7)
        applied = await _apply(place, size=7)
        assert applied.outcome is Outcome.ACCEPTED
        _check_clean(place)

    utils_admin.run(place, scenario)


async def _leave_behind(kept, name, base_operation):
    reference = f'hash.{name}'
    record = history.Record(
        operation=ids.OperationId(name),
        author='',
        base=ids.Revision(1),
        base_operation=base_operation,
        revision=ids.Revision(2),
        staged_at_s=0.0,
        changes='',
        written=(reference,),
    )
    await change.change(
        kept,
        history.KEY,
        history.History(),
        lambda known: history.stage(known, record),
        ids.OperationId(name),
    )
    key = f'{store.CONFIG_PART_PREFIX}{reference}'
    await kept.swap(key, b'x', store.ABSENT, ids.OperationId(name), None)


def test_member_with_a_later_revision_means_conflict():
    """The other apply was accepted between reading the head and asking."""
    place = utils_admin.make()

    async def scenario():
        await _apply(place)
        current = await staging.read_current(place.desk.links.kept)
        await _apply(place, size=7)
        whole = configuration.parse(utils_admin.toml(size=8))
        wish = apply.Wish(whole, ids.OperationId('late'), 'bo')
        late = await apply.run(place.desk.links, current, wish)
        assert late.outcome is Outcome.CONFLICT
        assert (late.revision, late.author) == (2, 'ana')
        _check_clean(place)

    utils_admin.run(place, scenario)


async def _set_back(place):
    """Let revision 2 be accepted, then restore the store's copy of 1."""
    await _apply(place)
    old = dict(place.network.fake.items)
    await _apply(place, size=7)
    place.network.fake.items.update(old)


def test_store_that_was_set_back_is_reported_and_gone_above():
    place = utils_admin.make()
    breaches = []
    place.desk.report = lambda name, detail: breaches.append(name)

    async def scenario():
        await _set_back(place)
        applied = await _apply(place, size=8)
        assert (applied.outcome, applied.revision) == (Outcome.ACCEPTED, 3)
        assert breaches == ['configuration-grows']
        assert utils_admin.in_force(place) == [3, 3, 3]

    utils_admin.run(place, scenario)


def test_daemon_that_did_not_know_learns_it_of_the_entries():
    place = utils_admin.make()
    other = utils_admin.second(place)

    async def scenario():
        await _set_back(place)
        refused = await _apply(other, size=8)
        assert refused.outcome is Outcome.CONFLICT
        assert 'set back' in refused.reason
        assert utils_admin.in_force(place) == [2, 2, 2]
        applied = await _apply(other, size=8)
        assert (applied.outcome, applied.revision) == (Outcome.ACCEPTED, 3)

    utils_admin.run(place, scenario)


def test_file_in_force_is_applied_anew_after_the_store_was_set_back():
    place = utils_admin.make(('e1',))

    async def scenario():
        await _set_back(place)
        applied = await _apply(place, size=6)
        assert (applied.outcome, applied.revision) == (Outcome.ACCEPTED, 3)
        assert utils_admin.in_force(place) == [3]

    utils_admin.run(place, scenario)
