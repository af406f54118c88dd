"""Long-running tasks whose workers crash again and again.

A job that lasts was given up once the crashes under one of its tasks were
evidence enough, as a job that ends is. All its other tasks, which served on
sound workers, were stopped at once, and the job was shown as failed for good.
Such a job runs until its caller cancels it: the task is started again after
growing pauses, apart from others, and the rest of its step isn't held back.
"""

import dataclasses
import types

import curio
import msgspec
import pytest

from emulator import callers as callers_
from emulator import crashing
from emulator import day
from emulator import evidence as evidences
from emulator import fleet as fleets
from oleanderwood import clock
from oleanderwood import event_log
from oleanderwood.jobs import crash_backoff
from oleanderwood.jobs import crashes as crashes_
from oleanderwood.jobs import isolation
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.jobs import record
from oleanderwood.leading import crash_handover
from oleanderwood.operators import text
from oleanderwood.operators import view
from oleanderwood.pools import blame
from oleanderwood.pools import placing
from oleanderwood.pools import workers as workers_
from oleanderwood import server_metrics
from tests import utils_crashes
from tests import utils_jobs as build
from tests import utils_takeover as takeovers

TASKS = 5

RESTART_S = 6.0
"""Time after a run within which a long-running task has to run again."""

BACK_S = 16.0
"""Time after the last crash within which all tasks have to serve."""


def _lasting(tasks=TASKS, **fields):
    return build.step(tasks, is_long_running=True, **fields)


def _ledger(*steps):
    ledger = build.ledger_with(build.job(*(steps or (_lasting(),))))
    return ledger, build.task(ledger)


def _crash(ledger, task, count=1, age_ms=700, now_s=1.0):
    """Record isolated crashes of a task at the same age."""
    for _ in range(count):
        attempt = max(task.crashes, default=0) + 1
        crash = crashes_.Crash(attempt, age_ms, isolated=True)
        isolation.record_crash(ledger, task, crash, now_s)
    entry = task.group.entry
    entry.stored_crash_revision = entry.crash_revision


def _fail_by_crashes(ledger, task):
    _crash(ledger, task, 4)
    assert isolation.crashes_workers(task)


# What is decided, without a server.


def test_job_that_lasts_is_not_given_up():
    """Only its caller ends it, whatever crashes under its tasks."""
    ledger, task = _ledger()
    _crash(ledger, task, 50)
    assert isolation.crashes_workers(task)
    assert not ledgers.is_final(task.group.entry)


def test_job_that_ends_is_still_given_up():
    """A batch task that crashes its workers has a bound on its starts."""
    ledger, task = _ledger(build.step(2))
    _fail_by_crashes(ledger, task)
    assert task.group.entry.state is model.State.FAILED


def test_gang_that_lasts_is_not_given_up():
    ledger, task = _ledger(_lasting(3, gang=True))
    _fail_by_crashes(ledger, task)
    assert not ledgers.is_final(task.group.entry)
    paused = [row.backoff_until_s for row in task.group.tasks]
    assert min(paused) == max(paused) > 0.0


@pytest.mark.parametrize('number', (0, 1))
def test_crashes_do_not_end_a_job_with_steps_of_both_kinds(number):
    """Its long-running tasks must not be stopped because of either step."""
    ledger, _task = _ledger(_lasting(2), build.step(2))
    task = build.task(ledger, step=number)
    _fail_by_crashes(ledger, task)
    assert not ledgers.is_final(task.group.entry)


def test_failures_still_end_a_job_with_steps_of_both_kinds():
    """Its state is defined so, and a reported failure is no guess."""
    ledger, _task = _ledger(_lasting(2), build.step(2))
    task = build.task(ledger, step=1)
    for attempt in (1, 2):
        ledgers.mark_failed(ledger, task, 'w1', attempt, 2, 1.0)
    assert task.group.entry.state is model.State.FAILED


def test_batch_task_of_such_a_job_waits_longer_and_does_not_block_its_step():
    ledger, _task = _ledger(_lasting(2), build.step(3))
    task = build.task(ledger, step=1)
    _crash(ledger, task, 30)
    pause_s = crash_backoff.backoff_s(task)
    assert pause_s == crash_backoff.MAX_BATCH_S
    others = [row for row in task.group.tasks if row is not task]
    startable = isolation.startable(task.group, 1.0 + pause_s / 2)
    assert [row for row in startable if row is not task] == others
    assert not _placed(task.group, [build.worker()], 1.0 + pause_s / 2, task)
    assert isolation.startable(task.group, 1.5 + pause_s) == [task]


def test_pauses_grow_and_stay_short_enough():
    ledger, task = _ledger()
    pauses = []
    for _ in range(30):
        _crash(ledger, task)
        pauses.append(task.backoff_until_s and task.backoff_until_s - 1.0)
    assert pauses[0] == 0.0
    assert pauses == sorted(pauses)
    assert len(set(pauses)) > 3
    assert max(pauses) + isolation.MAX_ISOLATION_WAIT_S < RESTART_S


def test_pause_counts_from_the_crash_and_not_from_its_detection():
    """A silent worker is found gone only once its lease ends."""
    ledger, task = _ledger()
    worker = build.worker()
    for attempt in (1, 2, 3, 4):
        run = build.start(ledger, task, worker, 10.0)
        run.sent_s = 10.0
        crash = crashes_.Crash(run.attempt, 500, isolated=True)
        isolation.record_crash(ledger, task, crash, 16.0)
        workers_.end_all_runs(ledger, worker, 16.0)
    assert task.backoff_until_s == 10.5 + crash_backoff.backoff_s(task)


def test_pause_is_forgotten_once_a_task_has_served():
    ledger, task = _ledger()
    _crash(ledger, task, 9)
    isolation.clear(ledger, task)
    assert (task.crash_count, task.backoff_until_s) == (0, 0.0)
    assert not task.group.suspects


def test_kept_crashes_are_bounded_and_their_number_is_stored():
    """A task may be started again for days; a write has a largest size."""
    ledger, task = _ledger()
    _crash(ledger, task, 500)
    entry = task.group.entry
    stored = msgspec.json.encode(record.progress_of(entry))
    assert len(stored) < 2000
    later, again = _ledger()
    progress = msgspec.json.decode(stored, type=record.Progress)
    record.restore(later, again.group.entry, progress, 1.0)
    assert again.crash_count == task.crash_count == 500
    assert isolation.crashes_workers(again)
    assert not ledgers.is_final(again.group.entry)


def test_progress_of_the_release_before_is_read():
    ledger, task = _ledger()
    _crash(ledger, task, 3)
    entry = task.group.entry
    rows = msgspec.json.decode(msgspec.json.encode(record.progress_of(entry)))
    for row in rows['groups']:
        assert len(row) == 7
        del row[6:]
    progress = msgspec.json.decode(
        msgspec.json.encode(rows), type=record.Progress
    )
    later, again = _ledger()
    record.restore(later, again.group.entry, progress, 1.0)
    assert again.crash_count == len(again.crashes)


def test_other_tasks_of_a_step_start_beside_a_suspected_one():
    """They would be away for as long as one task is tried."""
    ledger, task = _ledger()
    _crash(ledger, task, 3)
    others = [row for row in task.group.tasks if row is not task]
    for now_s in (1.0, 100.0):
        startable = isolation.startable(task.group, now_s)
        assert [row for row in startable if row is not task] == others
    build.start(ledger, task, build.worker())
    assert isolation.startable(task.group, 1.0) == others


def test_task_that_crashes_each_worker_does_not_delay_other_suspects():
    """The one with the fewest crashes is tried first."""
    ledger, task = _ledger()
    _crash(ledger, task, 9)
    second = build.task(ledger, index=1)
    _crash(ledger, second, 2, age_ms=40)
    due_s = task.backoff_until_s + 0.1
    task.not_serving_since_s = second.not_serving_since_s = due_s
    startable = isolation.startable(task.group, due_s)
    assert [row for row in startable if row.index in task.group.suspects] == [
        second
    ]


def test_suspected_tasks_wait_for_the_store_only_for_a_while():
    """No crash can end their job, so none has to be stored for that."""
    ledger, task = _ledger()
    _crash(ledger, task, 3)
    entry = task.group.entry
    entry.crash_revision += 1
    entry.crash_storage_due_s = 5.0
    assert isolation.awaits_storage(task, 4.0)
    assert not isolation.awaits_storage(task, 6.0)


def _placed(group, pool, now_s, task):
    decided = placing.decide([group], pool, now_s, 100)
    return [row.worker.entry.worker for row in decided if row.task is task]


def _busy_worker(ledger, name, count, begun_s, job):
    """Build a worker that runs some batch tasks of a job."""
    worker = build.worker(name)
    for index in range(count):
        row = build.task(ledger, index=index, name=job)
        build.start(ledger, row, worker, begun_s)
    return worker


def test_task_that_crashes_workers_is_started_where_nothing_runs():
    """Its next crash must not take the runs of others along."""
    other = '0' * 16
    ledger = build.ledger_with(
        build.job(_lasting(1)), build.job(build.step(2), name=other)
    )
    task = build.task(ledger)
    _crash(ledger, task, 4)
    due_s = task.backoff_until_s + 0.1
    task.not_serving_since_s = due_s
    busy = _busy_worker(ledger, 'w1', 2, 0.0, other)
    assert not _placed(task.group, [busy], due_s, task)
    idle = build.worker('w2')
    assert _placed(task.group, [busy, idle], due_s, task) == ['w2']


def test_task_that_crashes_workers_does_not_wait_for_good():
    """Where no worker is idle, it starts beside others in the end."""
    other = '0' * 16
    ledger = build.ledger_with(
        build.job(_lasting(1)), build.job(build.step(2), name=other)
    )
    task = build.task(ledger)
    _crash(ledger, task, 4)
    busy = _busy_worker(ledger, 'w1', 2, 0.0, other)
    task.not_serving_since_s = 1.0
    late_s = 1.0 + isolation.MAX_ISOLATION_WAIT_S
    assert not _placed(task.group, [busy], late_s - 0.1, task)
    assert _placed(task.group, [busy], late_s, task) == ['w1']


def test_batch_task_of_such_a_job_does_not_wait_for_good_either():
    """A worker that runs a service never becomes idle."""
    ledger, service = _ledger(_lasting(1), build.step(1))
    task = build.task(ledger, step=1)
    _crash(ledger, task, 6)
    worker = build.worker()
    build.start(ledger, service, worker, 0.0)
    due_s = task.backoff_until_s
    early_s = due_s + isolation.MAX_ISOLATION_WAIT_S / 2
    assert not _placed(task.group, [worker], early_s, task)
    late_s = due_s + isolation.MAX_ISOLATION_WAIT_S
    assert _placed(task.group, [worker], late_s, task) == ['w1']


def test_gang_that_lasts_does_not_wait_for_good():
    """In a busy pool, some run is always younger than its trial asks for."""
    other = '0' * 16
    ledger = build.ledger_with(
        build.job(_lasting(2, gang=True)),
        build.job(build.step(2), name=other),
    )
    task = build.task(ledger)
    _crash(ledger, task, 4)
    for member in task.group.tasks:
        member.not_serving_since_s = 10.0
    late_s = 10.0 + isolation.MAX_ISOLATION_WAIT_S
    early_s = late_s - 0.1
    busy = _busy_worker(ledger, 'w1', 2, early_s - 0.2, other)
    assert not _placed(task.group, [busy], early_s, task)
    assert _placed(task.group, [busy], late_s, task) == ['w1']


def test_worker_of_such_a_task_stays_reserved_until_it_has_served():
    """It may crash its worker at any time until then."""
    ledger, task = _ledger()
    _crash(ledger, task, 4, age_ms=100)
    worker = build.worker()
    build.start(ledger, task, worker, 10.0)
    assert not isolation.update_probation(task, 5.0)
    assert isolation.is_on_probation(task)
    isolation.clear(ledger, task)
    assert not isolation.is_on_probation(task)


def test_others_are_cleared_of_its_crashes_though_nothing_is_given_up():
    """They were only there, and would be tried alone long after."""
    other = '0' * 16
    ledger = build.ledger_with(
        build.job(_lasting(1)), build.job(build.step(1), name=other)
    )
    task, bystander = build.task(ledger), build.task(ledger, name=other)
    for round_ in range(3):
        now_s = 10.0 * (round_ + 1)
        worker = build.worker(f'w{round_}')
        rows = [task, bystander] if round_ == 0 else [task]
        for row in rows:
            run = build.start(ledger, row, worker, now_s)
            run.sent, run.sent_s = True, now_s
        losses = [workers_.Loss(row, 0.02, 0.0, 1) for row in rows]
        blame.attribute(ledger, losses, False, now_s + 0.02)
        workers_.end_all_runs(ledger, worker, now_s + 0.02)
        if round_ == 0:
            assert bystander.crashes
    assert isolation.crashes_workers(task)
    assert not bystander.crashes and not bystander.group.suspects


# Whole systems.

PLAN = dataclasses.replace(takeovers.PLAN, machines_a_pool=8)

SERVICE = {
    'count': TASKS,
    'cpu': 2000,
    'mem_mb': 400,
    'estimate_ms': 900,
    'long_running': True,
    'may_miss': 1,
}


class _Job:
    """A job that lasts, and what becomes of its tasks."""

    def __init__(self, scene) -> None:
        self.scene = scene
        self.name = 'c' * 16
        self.first = f'{self.name}.0.0.0'

    async def hand_in(self, *steps) -> None:
        scene = self.scene
        callers = dataclasses.replace(
            scene.callers, processes=[takeovers.leader(scene)]
        )
        await curio.spawn(
            callers_.hand_in,
            callers,
            day.prefix('drafts'),
            self.name,
            {'phases': list(steps)},
            daemon=True,
        )

    def machine(self, task) -> fleets.Machine | None:
        """Return the machine that runs a task."""
        for machine in self.scene.fleet.machines.values():
            executor = machine.executor
            if executor is not None and task in executor.running:
                return machine
        return None

    def running(self) -> list[str]:
        names = [f'{self.name}.0.0.{index}' for index in range(TASKS)]
        return [name for name in names if self.machine(name) is not None]

    async def crash(self, age_s) -> None:
        """Crash the worker of the first task, some time after its start."""
        await takeovers.wait_until(lambda: self.machine(self.first))
        await curio.sleep(age_s)
        machine = self.machine(self.first)
        if machine is not None:
            await curio.spawn(
                fleets.crash, self.scene.fleet, machine, 0.5, True, daemon=True
            )
            await curio.sleep(0.05)

    def runs(self, task) -> list[evidences.Sight]:
        sights = self.scene.callers.world.evidence.sights
        return [
            row
            for row in sights
            if row.kind is evidences.Kind.STARTED and row.task == task
        ]

    def stopped(self) -> list[str]:
        """Return the tasks that were stopped by an order."""
        sights = self.scene.callers.world.evidence.sights
        return [
            row.task
            for row in sights
            if row.kind is evidences.Kind.ENDED and row.how == 'stopped'
        ]


def _play_crashes(ages_s, after_crash=None, steps=(SERVICE,)):
    """Crash the worker of one task again and again."""
    found = {}

    async def story(scene):
        job = _Job(scene)
        await job.hand_in(*steps)
        await curio.sleep(4.0)
        for number, age_s in enumerate(ages_s):
            await job.crash(age_s)
            if after_crash is not None:
                await after_crash(scene, number)
        await curio.sleep(BACK_S)
        found['running'] = len(job.running())
        found['stopped'] = job.stopped()
        found['starts'] = [
            len(job.runs(f'{job.name}.0.0.{index}')) for index in range(TASKS)
        ]

    result = takeovers.play(story, PLAN)
    return found, result


CRASHES_S = (3.0,) + 6 * (0.6,)


def test_all_tasks_serve_after_crashes_under_one_of_them():
    """Six crashes at the same age, and the other tasks are left alone."""
    found, result = _play_crashes(CRASHES_S)
    assert found['running'] == TASKS
    assert not found['stopped']
    assert not result.breaches
    assert 'failed' not in utils_crashes.shown(result)


def test_all_tasks_serve_if_the_leader_is_killed_between_the_crashes():
    """The next leader adopts the crashes that were not stored."""

    async def kill_leader(scene, number):
        if number == 3:
            await takeovers.kill(scene, takeovers.leader(scene))

    found, result = _play_crashes(CRASHES_S, kill_leader)
    assert found['running'] == TASKS
    assert not found['stopped']
    assert not result.breaches
    assert 'failed' not in utils_crashes.shown(result)


def test_all_tasks_serve_if_the_store_refuses_the_leader():
    """It hands the crashes that it couldn't store to the next leader."""

    async def refuse_leader(scene, number):
        if number != 3:
            return
        refused = takeovers.leader(scene).name
        scene.store.refused.add(refused)
        await curio.sleep(2.0)
        scene.store.refused.discard(refused)

    found, result = _play_crashes(CRASHES_S, refuse_leader)
    assert found['running'] == TASKS
    assert not found['stopped']
    assert not result.breaches
    assert 'failed' not in utils_crashes.shown(result)


def test_crashes_that_are_handed_over_do_not_end_a_job_that_lasts():
    ledger, task = _ledger()
    crashes = [
        crashes_.Crash(attempt, 700, isolated=True) for attempt in range(1, 5)
    ]
    leader = types.SimpleNamespace(
        ledger=ledger,
        progress_changed=takeovers.states.Signal(),
        placement_due=takeovers.states.PoolSignal(),
    )

    async def adopt():
        await crash_handover.adopt(leader, 256, {task.name: crashes})

    curio.run(adopt)
    assert isolation.crashes_workers(task)
    assert not ledgers.is_final(task.group.entry)


def test_tasks_of_both_kinds_go_on_after_crashes_under_a_lasting_one():
    batch = takeovers.step(2, 1000, 500)
    found, result = _play_crashes(CRASHES_S, steps=(SERVICE, batch))
    assert found['running'] == TASKS
    assert not found['stopped']
    done = {
        sight.task
        for sight in result.evidence.sights
        if sight.kind is evidences.Kind.ENDED and sight.how == 'done'
    }
    assert len(done) == 2


CRASHES_ITSELF_S = 20.0
"""How long a task that crashes its workers is observed."""

GROWING_PAUSES = 6
"""Starts before the pause between two of them is the longest."""


def _taken_along(evidence, since_s):
    """Return the tasks that ran beside one as it crashed its worker."""
    there = {}
    found = []
    for sight in evidence.sights:
        if sight.kind is evidences.Kind.STARTED:
            there.setdefault(sight.place, set()).add(sight.task)
        elif sight.kind is evidences.Kind.ENDED:
            there.setdefault(sight.place, set()).discard(sight.task)
        elif sight.kind is evidences.Kind.CRASHED and sight.at_s > since_s:
            found += there[sight.place] - {sight.task}
    return found


def _play_crash_loop(after_s, machines=8):
    """Hand in a lasting task that crashes its workers, beside other jobs."""
    lines = []
    found = {}
    emit = event_log.emit

    def note(part, event, **fields):
        lines.append((event, fields))
        if event == 'kept-apart':
            found.setdefault('known_s', clock.now_s())

    async def story(scene):
        crashing_ = {**SERVICE, crashing.FIELD: crashing.crash(after_s)}
        job = _Job(scene)
        await job.hand_in(crashing_)
        began_s = await curio.clock()
        while await curio.clock() - began_s < CRASHES_ITSELF_S:
            step = takeovers.step(4, 1500, 300)
            await takeovers.submit_job(scene, takeovers.leader(scene), step)
            await curio.sleep(0.4)
        found['running'] = len(set(job.running()) - {job.first})
        found['starts'] = [row.at_s for row in job.runs(job.first)]
        leader = takeovers.leader(scene).state.leader
        found['text'] = text.of(view.job(leader, job.name))

    plan = dataclasses.replace(PLAN, machines_a_pool=machines)
    event_log.emit = note
    try:
        result = takeovers.play(story, plan)
    finally:
        event_log.emit = emit
    return found, result, lines


@pytest.mark.parametrize('after_s', (0.005, 0.4, 0.8))
def test_task_that_crashes_its_workers_does_not_take_others_along(after_s):
    """It goes on alone and with pauses; operators see it."""
    counted = server_metrics.CRASH_LOOPS._value.get()
    found, result, lines = _play_crash_loop(after_s)
    starts = found['starts']
    longest_s = crash_backoff.MAX_LONG_RUNNING_S
    assert len(starts) <= GROWING_PAUSES + CRASHES_ITSELF_S / longest_s
    assert max(b - a for a, b in zip(starts, starts[1:])) < RESTART_S
    assert found['running'] == TASKS - 1
    assert 'failed' not in utils_crashes.shown(result)
    # Runs of others were lost before it was known, and not afterwards.
    assert not _taken_along(result.evidence, found['known_s'])
    apart = [fields for event, fields in lines if event == 'kept-apart']
    assert [row['crashes'] for row in apart] == sorted(
        row['crashes'] for row in apart
    )
    assert apart and server_metrics.CRASH_LOOPS._value.get() - counted == len(
        apart
    )
    assert 'workers crashed under it, kept apart' in found['text']
