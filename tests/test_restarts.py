"""An executor that restarts under the same id.

Guards against tasks that run twice or after their end, and against lost ends,
which cause completed work to be repeated. The cause was that an id was treated
as a single incarnation of an executor. The next incarnation has no state of
the previous one: its ends count from one again, its clock starts anew, and it
has seen no term.

With that defect planted (see `test_restart_defects`), nine of the scenarios
here break TWICE, lose ends or never start a task again; of 40 emulated days
with three such restarts (lab seeds 60000 to 60039 with `--trouble-count 2
--restart-count 3`) one broke TWICE.
"""

import curio
import pytest

from emulator import executors
from emulator import servers
from emulator import store as stores
from oleanderwood.leading import restarts as restarts_
from oleanderwood.pools import incarnations
from tests import utils_jobs as jobs
from tests import utils_leading
from tests import utils_restarts as restarts
from tests import utils_takeover as build

AGAIN_S = 3.0
"""A restart that cuts no connection is detected when the pending renewal times
out, after a wait of 1 s and a timeout of 0.8 s; the task then starts at
once."""


@pytest.mark.parametrize('away_s', [0.0, 0.3, 2.0])
def test_task_runs_again_soon_after_its_executors_restart(away_s):
    times_s = []

    async def scenario(scene):
        begun = await restarts.start_job(scene, restarts.LONG)
        await restarts.restart(scene, begun[0], away_s)
        times_s.append(await restarts.wait_for_second_start(scene, begun))

    result = restarts.play(scenario)
    assert not result.breaches
    assert times_s[0] < AGAIN_S


def test_restart_that_cuts_its_connections_is_found_at_once():
    """A process that ends resets its connections; DESIGN.md has the figure."""
    times_s = []

    async def scenario(scene):
        begun = await restarts.start_job(scene, restarts.LONG)
        await restarts.restart(scene, begun[0], 0.05, resets=True)
        times_s.append(await restarts.wait_for_second_start(scene, begun))

    result = restarts.play(scenario)
    assert not result.breaches
    assert times_s[0] < 0.3


def test_ends_of_the_next_incarnation_are_read():
    """Its first ends have numbers that the previous incarnation used."""
    ended_counts = []
    result = restarts.ends_of_next_incarnation(ended_counts)
    assert not result.breaches
    assert ended_counts == [19]
    assert not restarts.done_twice(result)


@pytest.mark.parametrize('restart_s', [0.3, 3.0])
def test_late_order_of_the_earlier_incarnation_is_refused_by_the_next(
    restart_s,
):
    """The next incarnation does not know of the stop before."""
    assert not restarts.late_order(restart_s).breaches


def test_ends_of_an_unknown_incarnation_are_not_lost():
    result = restarts.ends_of_unknown_incarnation()
    assert not result.breaches
    assert not result.unfinished


@pytest.mark.parametrize('away_s', [0.05, 2.0])
def test_entry_of_the_earlier_incarnation_that_comes_last(away_s):
    async def scenario(scene):
        begun = await restarts.start_job(scene, restarts.LONG)
        await restarts.restart(scene, begun[0], away_s, late_entry=True)
        await curio.sleep(5.0)

    result = restarts.play(scenario)
    assert not result.breaches
    assert len(result.evidence.sights) > 0


def test_two_restarts_in_a_row():
    async def scenario(scene):
        begun = await restarts.start_job(scene, restarts.LONG)
        await restarts.restart(scene, begun[0], 0.05)
        await curio.sleep(0.1)
        await restarts.restart(scene, begun[0], 0.05)
        await curio.sleep(5.0)

    assert not restarts.play(scenario).breaches


@pytest.mark.parametrize('gap_s', [0.0, 0.5, 1.5, 2.5])
def test_next_leader_that_reads_a_roster_of_the_earlier_incarnation(gap_s):
    """Tasks of both incarnations wait until the next one has reported."""
    start_counts = []
    assert not restarts.roster_of_previous_incarnation(
        gap_s, start_counts
    ).breaches
    assert start_counts == [2]


def test_previous_leader_that_reaches_the_next_incarnation():
    """It sees another incarnation answer, and must not act on that."""
    assert not restarts.previous_leader_beside_next_incarnation().breaches


def test_crossing_answers_leave_open_which_incarnation_is_later():
    """One incarnation answered after the call that the other answers."""
    previous = jobs.worker('w1/1')
    previous.first_contact_s, previous.clock_at_s = 1.0, 5.0
    assert not restarts_.is_earlier(previous, 4.9)
    assert restarts_.is_earlier(previous, 5.0)
    never = jobs.worker('w1/2')
    never.first_contact_s = 3.0
    assert not restarts_.is_earlier(never, 2.9)
    assert restarts_.is_earlier(never, 3.1)


def test_restart_while_the_store_is_away():
    async def scenario(scene):
        begun = await restarts.start_job(scene, restarts.LONG)
        scene.store.down = 'silent'
        await curio.sleep(1.0)
        await restarts.restart(scene, begun[0], 0.3)
        await curio.sleep(4.0)
        scene.store.down = ''
        await curio.sleep(5.0)

    assert not restarts.play(scenario).breaches


def test_another_pool_under_the_same_id():
    """The worker belongs to the pool of its own entry, once that is read."""
    seen = []

    async def scenario(scene):
        begun = await restarts.start_job(scene, restarts.LONG)
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
    result = build.play(scenario, restarts.with_pools(plan_pools))
    assert not result.breaches
    assert seen == [('finals', ('b', 'r9'), True)]


@pytest.mark.parametrize('born', ['"now"', '1.5', 'null', '-1', '[]'])
def test_birth_that_is_no_whole_number_costs_no_other_executor(
    born, monkeypatch
):
    """A report that cannot be decoded, and an entry that cannot be used."""
    events = utils_leading.record_events(monkeypatch)
    spoiled = []

    async def scenario(scene):
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
            incarnations.executor_of(worker.entry.worker)
            for worker in leader.workers.values()
            if worker.listed
        ]
        spoiled.append(len(listed))

    restarts.play(scenario)
    assert spoiled[1] == 2
    assert any(
        event == 'malformed' and fields['worker'] == spoiled[0]
        for _part, event, fields in events
    )


def test_lease_of_the_next_incarnation_goes_by_its_own_clock():
    assert not restarts.hidden_after_restart().breaches


@pytest.mark.parametrize('seed', [60005, 60011, 61001])
def test_drawn_days_with_restarts(seed):
    """Days that broke TWICE, each by another defect.

    An id was treated as a single incarnation; all runs of an earlier
    incarnation were treated as ended; an unconfirmed order was dropped when
    its executor restarted before answering it, and a third incarnation carried
    it out.
    """
    result = restarts.lab_day(seed)
    assert not result.breaches
    assert not result.unfinished


def test_workers_are_named_by_incarnation():
    """The dump and the log name the incarnation."""
    names = []

    async def scenario(scene):
        leader = build.leader(scene)
        names.extend(leader.state.leader.workers)
        assert servers.leads(leader)

    restarts.play(scenario)
    assert names and all('/' in name for name in names)
