"""An executor that starts again under the id that it had.

What callers would see: tasks that run twice or after their end, and ends that
are lost, so that done work is done again. An id was taken for one life of an
executor. Its next life holds and knows nothing of before: its ends count from
one again, its clock starts anew, and it has seen no term.

With an id taken for one life, nine of the stories here break TWICE, lose ends
or start nothing again (planted, see `test_restart_defects`); of 40 emulated
days with three such restarts (lab seeds 60000 to 60039 with `--trouble-count 2
--restart-count 3`) one broke TWICE.
"""

import curio
import pytest

from emulator import executors
from emulator import servers
from emulator import store as stores
from oleanderwood.leading import restarts as restarts_
from oleanderwood.pools import lives
from tests import utils_jobs as jobs
from tests import utils_leading
from tests import utils_restarts as restarts
from tests import utils_takeover as build

AGAIN_S = 3.0
"""A restart that cuts no connection is found as the call that waits there is
given up, after 1 s of waiting and 0.8 s; then the task starts at once."""


@pytest.mark.parametrize('away_s', [0.0, 0.3, 2.0])
def test_task_runs_again_soon_after_its_executors_restart(away_s):
    times_s = []

    async def story(scene):
        begun = await restarts.begin(scene, restarts.LONG)
        await restarts.restart(scene, begun[0], away_s)
        times_s.append(await restarts.begun_again(scene, begun))

    result = restarts.play(story)
    assert not result.breaches
    assert times_s[0] < AGAIN_S


def test_restart_that_cuts_its_connections_is_found_at_once():
    """As a machine does whose process ends; the figure is in DESIGN.md."""
    times_s = []

    async def story(scene):
        begun = await restarts.begin(scene, restarts.LONG)
        await restarts.restart(scene, begun[0], 0.05, resets=True)
        times_s.append(await restarts.begun_again(scene, begun))

    result = restarts.play(story)
    assert not result.breaches
    assert times_s[0] < 0.3


def test_ends_of_the_next_life_are_read():
    """Its first ends have numbers that its earlier life used up."""
    shown = []
    result = restarts.ends_of_the_next_life(shown)
    assert not result.breaches
    assert shown == [19]
    assert not restarts.done_twice(result)


@pytest.mark.parametrize('restart_s', [0.3, 3.0])
def test_late_order_of_the_earlier_life_is_refused_by_the_next(restart_s):
    """The next life knows nothing of the stop before."""
    assert not restarts.late_order(restart_s).breaches


def test_ends_of_a_life_that_nobody_has_heard_of_are_not_forgotten():
    result = restarts.ends_that_nobody_has_heard_of()
    assert not result.breaches
    assert not result.unfinished


@pytest.mark.parametrize('away_s', [0.05, 2.0])
def test_entry_of_the_earlier_life_that_comes_last(away_s):
    async def story(scene):
        begun = await restarts.begin(scene, restarts.LONG)
        await restarts.restart(scene, begun[0], away_s, late_entry=True)
        await curio.sleep(5.0)

    result = restarts.play(story)
    assert not result.breaches
    assert len(result.evidence.sights) > 0


def test_twice_in_a_row():
    async def story(scene):
        begun = await restarts.begin(scene, restarts.LONG)
        await restarts.restart(scene, begun[0], 0.05)
        await curio.sleep(0.1)
        await restarts.restart(scene, begun[0], 0.05)
        await curio.sleep(5.0)

    assert not restarts.play(story).breaches


@pytest.mark.parametrize('gap_s', [0.0, 0.5, 1.5, 2.5])
def test_next_leader_that_reads_a_roster_of_the_earlier_life(gap_s):
    """Tasks of both lives are held back until the next one has told."""
    led = []
    assert not restarts.roster_of_the_earlier_life(gap_s, led).breaches
    assert led == [2]


def test_former_leader_that_talks_to_the_next_life():
    """It sees another life answer, and may not conclude from it."""
    assert not restarts.former_leader_beside_the_next_life().breaches


def test_answers_that_cross_leave_open_which_life_is_later():
    """An answer of one life came after the call that the other answers."""
    former = jobs.worker('w1/1')
    former.met_s, former.clock_at_s = 1.0, 5.0
    assert not restarts_.is_earlier(former, 4.9)
    assert restarts_.is_earlier(former, 5.0)
    never = jobs.worker('w1/2')
    never.met_s = 3.0
    assert not restarts_.is_earlier(never, 2.9)
    assert restarts_.is_earlier(never, 3.1)


def test_restart_while_the_store_is_away():
    async def story(scene):
        begun = await restarts.begin(scene, restarts.LONG)
        scene.store.down = 'silent'
        await curio.sleep(1.0)
        await restarts.restart(scene, begun[0], 0.3)
        await curio.sleep(4.0)
        scene.store.down = ''
        await curio.sleep(5.0)

    assert not restarts.play(story).breaches


def test_another_pool_under_the_same_id():
    """It belongs where its own entry says, once that has come."""
    seen = []

    async def story(scene):
        begun = await restarts.begin(scene, restarts.LONG)
        machine = restarts.machine_at(scene, begun[0])
        machine.pool = 'finals'
        machine.rack, machine.kind = 'r9', 'b'
        await restarts.restart(scene, begun[0], 0.05)
        await curio.sleep(6.0)
        leader = build.leader(scene).state.leader
        for worker in leader.workers.values():
            if worker.entry.address == begun[0]:
                entry = worker.entry
                seen.append((entry.service, entry.labels, worker.listed))

    plan_pools = ('drafts', 'finals')
    result = build.play(story, restarts.with_pools(plan_pools))
    assert not result.breaches
    assert seen == [('finals', ('b', 'r9'), True)]


@pytest.mark.parametrize('born', ['"now"', '1.5', 'null', '-1', '[]'])
def test_birth_that_is_no_whole_number_costs_no_other_executor(
    born, monkeypatch
):
    """An answer that isn't understood; an entry that names nobody to use."""
    events = utils_leading.record_events(monkeypatch)
    spoiled = []

    async def story(scene):
        await curio.sleep(0.1)
        machine = next(iter(scene.fleet.machines.values()))
        key = executors.key(machine.executor)
        value = executors.entry(machine.executor).decode()
        text = f'"born": {machine.executor.born}'
        assert text in value
        value = value.replace(text, f'"born": {born}')
        await stores.put(scene.store, key, value.encode())
        spoiled.append(machine.executor.ident)
        await curio.sleep(1.0)
        leader = build.leader(scene).state.leader
        listed = [
            lives.executor(worker.entry.worker)
            for worker in leader.workers.values()
            if worker.listed
        ]
        spoiled.append(len(listed))

    restarts.play(story)
    assert spoiled[1] == 2
    assert any(
        event == 'malformed' and fields['worker'] == spoiled[0]
        for _part, event, fields in events
    )


def test_lease_in_the_next_life_goes_by_its_own_clock():
    assert not restarts.hidden_after_the_restart().breaches


@pytest.mark.parametrize('seed', [60005, 60011, 61001])
def test_drawn_days_with_restarts(seed):
    """Days that broke TWICE.

    With an id taken for one life; with all of an earlier life taken for over;
    with an order in doubt forgotten that was answered by nobody while its
    executor started again, so that a third life carried it out.
    """
    result = restarts.lab_day(seed)
    assert not result.breaches
    assert not result.unfinished


def test_leader_is_told_apart_by_life():
    """The dump and the log name the life."""
    names = []

    async def story(scene):
        leader = build.leader(scene)
        names.extend(leader.state.leader.workers)
        assert servers.leads(leader)

    restarts.play(story)
    assert names and all('/' in name for name in names)
