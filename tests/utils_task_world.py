"""A small model of leaders, store and workers for tests of tasks' state."""

import dataclasses

from oleanderwood import ids
from oleanderwood import placement_actions as actions
from oleanderwood import platform_api
from oleanderwood import task_row
from oleanderwood import task_table
from oleanderwood import verdict as verdicts
from tests import utils_placement

TTL_S = task_row.LEASE_TTL_S
SLOWEST = 1 + task_row.CLOCK_RATE_MARGIN
HEARD_S = task_table.MAX_REPORT_GAP_S


@dataclasses.dataclass
class Leader:
    """A controller.

    ``term`` lets it write while it is the newest; its clock is ahead of the
    world's by ``clock_s``.
    """

    term: int
    table: task_table.Table
    clock_s: float = 0.0
    outbox: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Worker:
    """A worker; ``copies`` maps tasks to (epoch, state)."""

    copies: dict = dataclasses.field(default_factory=dict)
    epochs: dict = dataclasses.field(default_factory=dict)
    said: dict = dataclasses.field(default_factory=dict)
    cut_at_s: float | None = None
    heard_s: float = 0.0


class World:
    """Leaders, their store, messages under way and workers."""

    def __init__(self, tasks=2, workers=2):
        self.now_s = 100.0
        self.jobs = [utils_placement.make_job(tasks=tasks)]
        table = utils_placement.make_table(self.jobs, self.now_s)
        self.stored = dict(table.rows)
        self.epoch_floor = table.epoch_floor
        self.leaders = [Leader(1, table)]
        self.workers = {f'w{n}': Worker() for n in range(workers)}
        self.under_way = []
        self.reports = []
        self.answers = []
        self.sent = []

    @property
    def leader(self):
        """The newest leader."""
        return self.leaders[-1]

    def time_s(self, leader):
        """Give the time by a leader's clock."""
        return self.now_s + leader.clock_s

    def advance(self, step_s):
        """Let time pass; connected workers renew all their leases."""
        self.now_s += step_s
        for worker in self.workers.values():
            if worker.cut_at_s is None:
                self.hear(worker)
            elif self.now_s > worker.cut_at_s + TTL_S * SLOWEST:
                for task, (epoch, state) in worker.copies.items():
                    if alive(state):
                        ended = platform_api.TaskState.STOPPED
                        worker.copies[task] = (epoch, ended)
        limit_s = self.now_s - task_row.CALL_TIMEOUT_S
        self.under_way = [m for m in self.under_way if m[0] >= limit_s]

    def hear(self, worker):
        """Let the platform hear of a worker."""
        worker.heard_s = self.now_s
        worker.said = dict(worker.copies)

    def commit(self, leader, row):
        """Write a row, unless a newer leader has taken over."""
        if leader is not self.leader:
            return False
        self.stored[row.task] = row
        return True

    def decide(self, leader, action):
        """Note an action, write it, and put its order in the outbox."""
        row = task_table.note(
            leader.table, action, ids.OperationId('o'), self.time_s(leader)
        )
        if row is not None and self.commit(leader, row):
            leader.outbox.append(action)

    def start_all(self, worker):
        """Decide to start whatever may be started."""
        for row in list(self.leader.table.rows.values()):
            if row.phase is task_row.Phase.WAITING and not row.cancelled:
                epoch = ids.Epoch(row.epoch + 1)
                start = actions.StartTask(
                    row.task, row.job, worker, epoch, 1.0, 1.0
                )
                self.decide(self.leader, start)

    def send(self, leader, index):
        """Send an order of any leader, also one that was paused."""
        action = leader.outbox.pop(index)
        if isinstance(action, actions.StartTask):
            if not task_table.may_send(
                leader.table, action.task, action.epoch, self.time_s(leader)
            ):
                return
            self.sent.append((action.task, action.epoch))
        self.under_way.append((self.now_s, leader, action))

    def flush(self, lose_answers):
        """Send all of the newest leader, and let it arrive."""
        while self.leader.outbox:
            self.send(self.leader, 0)
        while self.under_way:
            self.deliver(0, lose_answers)

    def deliver(self, index, lose_answer):
        """Let an order arrive, in any sequence."""
        _, leader, action = self.under_way.pop(index)
        worker = self.workers[action.worker]
        if worker.cut_at_s is not None:
            return
        verdict = self.obey(worker, action)
        if lose_answer:
            verdict = verdicts.Verdict.MAY_HAVE_RUN
        if isinstance(action, actions.StartTask):
            task_table.answer(
                leader.table,
                action.task,
                action.epoch,
                verdict,
                self.time_s(leader),
            )
            if leader is self.leader:
                self.store_all()

    def obey(self, worker, action):
        """Do what a worker does with an order."""
        if isinstance(action, actions.StartTask):
            if action.epoch < worker.epochs.get(action.task, 0):
                return verdicts.Verdict.NOT_RUN
            worker.epochs[action.task] = action.epoch
            running = platform_api.TaskState.RUNNING
            worker.copies[action.task] = (action.epoch, running)
        else:
            epoch, state = worker.copies.get(action.task, (None, None))
            if epoch == action.epoch and alive(state):
                self.end(worker, action.task, platform_api.TaskState.STOPPED)
        self.hear(worker)
        return verdicts.Verdict.RAN

    def end(self, worker, task, state):
        """Let a copy end."""
        epoch, _ = worker.copies[task]
        worker.copies[task] = (epoch, state)

    def snapshot(self):
        """Let the platform make a usage report."""
        entries = []
        for vm, worker in self.workers.items():
            if self.now_s - worker.heard_s > HEARD_S:
                continue
            for task, (epoch, state) in worker.said.items():
                entries.append(
                    platform_api.TaskReport(
                        task, self.jobs[0].name, vm, epoch, state
                    )
                )
        self.reports.append((self.now_s, tuple(entries)))

    def take_in(self, index):
        """Let the leader take in a report, in any sequence."""
        taken_at_s, entries = self.reports.pop(index)
        usage = platform_api.UsageReport(self.now_s - taken_at_s, entries)
        now_s = self.time_s(self.leader)
        task_table.report(self.leader.table, usage, now_s)
        self.store_all()

    def store_all(self):
        """Write what the newest leader learned."""
        self.stored = dict(self.leader.table.rows)
        self.epoch_floor = self.leader.table.epoch_floor

    def take_over(self):
        """Let a new leader take over; the earlier one may be paused."""
        clock_s = -700.0 if self.leader.clock_s >= 0 else 900.0
        table = task_table.adopt(
            self.stored.values(), self.now_s + clock_s, self.epoch_floor
        )
        self.leaders.append(Leader(self.leader.term + 1, table, clock_s))

    def cut(self, vm):
        """Cut a worker off, so that it can't renew its leases."""
        worker = self.workers[vm]
        if worker.cut_at_s is None:
            worker.cut_at_s = self.now_s

    def heal(self, vm):
        """Let a worker be reached again."""
        worker = self.workers[vm]
        if worker.cut_at_s is not None:
            worker.cut_at_s = None
            self.hear(worker)

    def restart(self, vm):
        """Restart a worker: it forgets all it ran and saw."""
        now_s = self.time_s(self.leader)
        self.workers[vm] = Worker(heard_s=self.now_s)
        task_table.worker_restarted(
            self.leader.table, ids.VmId(vm), now_s, now_s
        )
        self.store_all()

    def check(self):
        """Check that no task runs twice and no start was sent twice."""
        for task in {
            job for one in self.workers.values() for job in one.copies
        }:
            running = [
                vm
                for vm, worker in self.workers.items()
                if alive(worker.copies.get(task, (0, None))[1])
            ]
            assert len(running) <= 1, f'{task} runs on {running}'
        assert len(set(self.sent)) == len(self.sent), 'a start sent twice'


def drive(world, rng, steps):
    """Let events happen at random, and check after each."""
    for _ in range(steps):
        event = rng.choices(_EVENTS, _WEIGHTS)[0]
        event(world, rng)
        world.check()


def _pass(world, rng):
    world.advance(rng.choice([0.5, 2.0, 4.0, 12.0]))


def _quiet(world, rng):
    for _ in range(rng.choice([1, 2, 4, 8, 13])):
        world.advance(3.0)
        world.snapshot()
        world.take_in(len(world.reports) - 1)
        world.check()


def _run(world, rng):
    world.start_all(_any_vm(world, rng))
    world.flush(rng.random() < 0.3)


def _start(world, rng):
    world.start_all(_any_vm(world, rng))


def _send(world, rng):
    leader = rng.choice(world.leaders[-3:])
    if leader.outbox:
        world.send(leader, rng.randrange(len(leader.outbox)))


def _dangle(world, rng):
    """Leave a start under way."""
    _start(world, rng)
    while world.leader.outbox:
        world.send(world.leader, 0)


def _wake(world, rng):
    """Let a paused leader go on where it was."""
    leader = rng.choice(world.leaders)
    if leader.outbox:
        world.send(leader, len(leader.outbox) - 1)
        if world.under_way:
            world.deliver(len(world.under_way) - 1, False)


def _sparse(world, rng):
    """Let reports come far apart, and workers be back in between."""
    for _ in range(rng.choice([3, 4, 5])):
        world.advance(12.0)
        _flap(world, rng)
        world.advance(6.0)
        world.snapshot()
        world.take_in(len(world.reports) - 1)
        world.check()


def _deliver(world, rng):
    if world.under_way:
        index = rng.randrange(len(world.under_way))
        world.deliver(index, rng.random() < 0.3)


def _late_report(world, rng):
    if world.reports and rng.random() < 0.5:
        world.take_in(rng.randrange(len(world.reports)))
    else:
        world.snapshot()


def _cut_or_heal(world, rng):
    vm = _any_vm(world, rng)
    if world.workers[vm].cut_at_s is None:
        world.cut(vm)
    else:
        world.heal(vm)


def _flap(world, rng):
    for vm in world.workers:
        if world.workers[vm].cut_at_s is not None:
            world.heal(vm)
            world.cut(vm)


def _restart(world, rng):
    world.restart(_any_vm(world, rng))


def _take_over(world, rng):
    world.take_over()


def _end(world, rng):
    kind = rng.choice([actions.StopTask, actions.CheckpointTask])
    for row in list(world.leader.table.rows.values()):
        if row.phase in task_row.LIVE:
            world.decide(world.leader, kind(row.task, row.worker, row.epoch))


def _cancel(world, rng):
    for jobs in ([], world.jobs):
        now_s = world.time_s(world.leader)
        task_table.reconcile(world.leader.table, jobs, now_s)
        if rng.random() < 0.5:
            task_table.prune(world.leader.table)
        world.store_all()
        if rng.random() < 0.5:
            return


def _copy_ends(world, rng):
    worker = world.workers[_any_vm(world, rng)]
    ends = [
        platform_api.TaskState.FAILED,
        platform_api.TaskState.CHECKPOINTED,
    ]
    if rng.random() < 0.1:
        ends = [platform_api.TaskState.DONE]
    for task, (_, state) in list(worker.copies.items()):
        if alive(state):
            world.end(worker, task, rng.choice(ends))


def _any_vm(world, rng):
    return rng.choice(sorted(world.workers))


_WEIGHTED = {
    _pass: 4,
    _quiet: 8,
    _run: 8,
    _start: 4,
    _send: 4,
    _deliver: 4,
    _late_report: 3,
    _cut_or_heal: 5,
    _flap: 2,
    _dangle: 2,
    _wake: 4,
    _sparse: 2,
    _restart: 2,
    _take_over: 3,
    _end: 2,
    _cancel: 2,
    _copy_ends: 1,
}
_EVENTS = list(_WEIGHTED)
_WEIGHTS = list(_WEIGHTED.values())


def alive(state):
    """Say whether a copy in this state runs."""
    return state in (
        platform_api.TaskState.RUNNING,
        platform_api.TaskState.THROTTLED,
    )
