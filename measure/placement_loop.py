"""Access to the event loop that feeds generated events to placement.

Each event reaches the pure functions as the daemon would bring it; what
workers do is as simple as the platform's interface allows.
"""

import collections.abc
import dataclasses
import heapq
import itertools
import random
import time
import typing

import msgspec

from measure import placement_inputs
from oleanderwood import blame as blames
from oleanderwood import configuration
from oleanderwood import demand as demands
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import placement
from oleanderwood import placement_actions as actions
from oleanderwood import placement_policy
from oleanderwood import platform_api
from oleanderwood import task_row
from oleanderwood import task_table
from oleanderwood import urgent_placement
from oleanderwood import verdict as verdicts
from oleanderwood import worker_room

STEP_S = 0.5
REPORT_S = 2.0
REPORT_LAG_S = 4.0
CALL_S = 0.03
CONNECT_TIMEOUT_S = 1.0
ANSWER_TIMEOUT_S = 3.0
LOST_SHARE = 0.005
LIST_LAG_S = 10.0
RAMP_S = 10.0
"""Time over which a copy's memory grows to its size."""

ENDED_KEPT_S = 20.0
DRAIN_AT = 0.2
"""When a rack is drained, as a share of the time followed."""

DRAINED_S = 15.0
RACK_LOSS_AT = 0.5

CANCEL_AT = 0.65
CANCELLED_SHARE = 0.2
MIN_CHECKPOINT_S = 0.3
CHECKPOINT_S_PER_GIB = 0.05
FAILS_AFTER_S = 1.0

_ALIVE = (
    platform_api.TaskState.RUNNING,
    platform_api.TaskState.THROTTLED,
)


@dataclasses.dataclass
class Copy:
    """A task's copy on a worker."""

    task: str
    job: ids.JobId
    worker: ids.VmId
    epoch: ids.Epoch
    given: demands.Size
    truth: placement_inputs.Truth
    started_s: float
    work_left_s: float
    since_s: float
    rate: float = 1.0
    state: platform_api.TaskState = platform_api.TaskState.RUNNING
    ended_s: float = 0.0
    reason: str = ''


@dataclasses.dataclass
class Figures:
    """What is counted in one run."""

    urgent_waits_s: list[float] = dataclasses.field(default_factory=list)
    urgent_open: int = 0
    ends_for_room: int = 0
    stops_for_room: int = 0
    throttles: int = 0
    moves: int = 0
    moves_needed: int = 0
    out_of_memory: int = 0
    refused: int = 0
    quota_breaches: int = 0
    double_runs: int = 0
    decision_s: list[float] = dataclasses.field(default_factory=list)
    cores_used: list[float] = dataclasses.field(default_factory=list)
    cores_short: list[float] = dataclasses.field(default_factory=list)
    memory_used: list[float] = dataclasses.field(default_factory=list)
    fairness: list[float] = dataclasses.field(default_factory=list)
    core_s_done: float = 0.0
    core_s_lost: float = 0.0
    aside: set[ids.VmId] = dataclasses.field(default_factory=set)
    told: set[str] = dataclasses.field(default_factory=set)
    held: set[ids.JobId] = dataclasses.field(default_factory=set)


@dataclasses.dataclass
class Loop:
    """The state of one run."""

    inputs: placement_inputs.Inputs
    rng: random.Random
    policy: placement_policy.Policy
    learns: bool
    jobs: dict[str, configuration.Job]
    truths: dict[str, placement_inputs.Truth]
    workers: dict[ids.VmId, worker_room.Worker]
    listed: tuple[worker_room.Worker, ...]
    table: task_table.Table
    demand: demands.Demand
    blame: blames.Blame
    figures: Figures
    copies: dict[ids.VmId, dict[str, Copy]]
    now_s: float = 0.0
    lost: set[ids.VmId] = dataclasses.field(default_factory=set)
    epochs: dict[str, ids.Epoch] = dataclasses.field(default_factory=dict)
    arrived_s: dict[str, float] = dataclasses.field(default_factory=dict)
    changed: bool = True
    reconciled: bool = False
    alive: dict[str, set[ids.VmId]] = dataclasses.field(default_factory=dict)
    heap: list[typing.Any] = dataclasses.field(default_factory=list)
    ticket: collections.abc.Iterator[int] = dataclasses.field(
        default_factory=itertools.count
    )


def run(
    inputs: placement_inputs.Inputs,
    policy: placement_policy.Policy,
    learns: bool,
    rng: random.Random,
) -> Figures:
    """Follow one case to its horizon."""
    loop = Loop(
        inputs,
        rng,
        policy,
        learns,
        {},
        {},
        {worker.vm: worker for worker in inputs.workers},
        inputs.workers,
        task_table.Table(),
        demands.Demand(),
        blames.Blame(),
        Figures(),
        {worker.vm: {} for worker in inputs.workers},
    )
    horizon_s = inputs.scale.horizon_s
    for arrival in inputs.arrivals:
        at(loop, arrival.at_s, _arrive, arrival)
    at(loop, horizon_s * DRAIN_AT, _drain_rack)
    at(loop, horizon_s * RACK_LOSS_AT, _lose_rack)
    at(loop, horizon_s * CANCEL_AT, _cancel)
    at(loop, 0.01, _step)
    at(loop, REPORT_S, _report)
    while loop.heap and loop.heap[0][0] <= horizon_s:
        loop.now_s, _, event, arguments = heapq.heappop(loop.heap)
        event(loop, *arguments)
    _finish(loop)
    return loop.figures


def at(
    loop: Loop,
    at_s: float,
    event: collections.abc.Callable[..., None],
    *arguments: typing.Any,
) -> None:
    """Let an event happen later."""
    heapq.heappush(loop.heap, (at_s, next(loop.ticket), event, arguments))


def _arrive(loop: Loop, arrival: placement_inputs.Arrival) -> None:
    job = arrival.job
    loop.jobs[job.name] = job
    loop.changed = True
    loop.reconciled = False
    loop.truths[job.name] = arrival.truth
    if job.priority is configuration.Priority.URGENT:
        for index in range(job.tasks):
            task = task_table.task_id(job.name, index)
            loop.arrived_s[task] = loop.now_s


def _drain_rack(loop: Loop) -> None:
    """Drain a rack's VMs; each of their copies has to move."""
    rack = loop.inputs.drained_rack
    for vm, here in loop.copies.items():
        if loop.workers[vm].rack == rack:
            loop.figures.moves_needed += sum(
                copy.state in _ALIVE for copy in here.values()
            )
    _set_state(loop, rack, fleet.VmState.DRAINING)
    back_s = loop.now_s + DRAINED_S
    at(loop, back_s, _set_state, rack, fleet.VmState.SERVING)


def _set_state(loop: Loop, rack: ids.Rack, state: fleet.VmState) -> None:
    loop.changed = True
    loop.listed = tuple(
        msgspec.structs.replace(one, state=state) if one.rack == rack else one
        for one in loop.listed
    )


def _lose_rack(loop: Loop) -> None:
    lost = [
        worker.vm
        for worker in loop.workers.values()
        if worker.rack == loop.inputs.lost_rack
    ]
    loop.lost.update(lost)
    for vm in lost:
        for copy in list(loop.copies[vm].values()):
            if copy.state in _ALIVE:
                _close(loop, copy, platform_api.TaskState.FAILED)
        loop.copies[vm].clear()
    at(loop, loop.now_s + LIST_LAG_S, _unlist, lost)


def _unlist(loop: Loop, lost: list[ids.VmId]) -> None:
    loop.listed = tuple(one for one in loop.listed if one.vm not in lost)


def _cancel(loop: Loop) -> None:
    """Cancel many jobs at once; urgent ones stay, so that they count."""
    names = [
        name
        for name, job in loop.jobs.items()
        if job.priority is not configuration.Priority.URGENT
    ]
    for name in loop.rng.sample(names, int(len(names) * CANCELLED_SHARE)):
        del loop.jobs[name]
    loop.changed = True
    loop.reconciled = False


def _step(loop: Loop) -> None:
    """Decide, unless nothing changed since the last decision."""
    at(loop, loop.now_s + STEP_S, _step)
    if not loop.changed and not loop.arrived_s:
        return
    loop.changed = False
    jobs = list(loop.jobs.values())
    if not loop.reconciled:
        task_table.reconcile(loop.table, jobs, loop.now_s)
        loop.reconciled = True
    began_s = time.process_time()
    decided = placement.place(
        jobs,
        loop.inputs.teams,
        loop.listed,
        loop.table.rows,
        loop.demand,
        loop.now_s,
        loop.rng,
        pools=loop.inputs.pools,
        blame=loop.blame,
        policy=loop.policy,
    )
    loop.figures.decision_s.append(time.process_time() - began_s)
    for action in decided:
        _carry_out(loop, action)


def _carry_out(loop: Loop, action: actions.Action) -> None:
    figures = loop.figures
    if isinstance(action, actions.NeverRuns):
        figures.told.add(action.job)
    elif isinstance(action, actions.HoldBack):
        figures.held.add(action.job)
    elif isinstance(action, actions.SetAside):
        figures.aside.add(action.worker)
    elif isinstance(action, actions.StartTask):
        _order_start(loop, action)
    else:
        _order_end(loop, action)


def _order_start(loop: Loop, action: actions.StartTask) -> None:
    operation = ids.OperationId(f'{action.task}-{action.epoch}')
    task_table.note(loop.table, action, operation, loop.now_s)
    at(loop, loop.now_s + CALL_S, _start_arrives, action)


def _order_end(
    loop: Loop,
    action: actions.ThrottleTask | actions.CheckpointTask | actions.StopTask,
) -> None:
    operation = ids.OperationId('')
    row = task_table.note(loop.table, action, operation, loop.now_s)
    if row is None:
        return
    figures = loop.figures
    if isinstance(action, actions.ThrottleTask):
        figures.throttles += 1
    elif action.reason == 'room for urgent work':
        figures.ends_for_room += 1
        figures.stops_for_room += isinstance(action, actions.StopTask)
    elif action.reason not in ('cancelled', 'still not ended'):
        figures.moves += 1
    if action.worker in loop.lost:
        at(loop, loop.now_s + CONNECT_TIMEOUT_S, _unreachable, action.worker)
    elif loop.rng.random() >= LOST_SHARE:
        at(loop, loop.now_s + CALL_S, _end_arrives, action)


def _start_arrives(loop: Loop, action: actions.StartTask) -> None:
    if not task_table.may_send(
        loop.table, action.task, action.epoch, loop.now_s
    ):
        return
    if action.worker in loop.lost:
        verdict = verdicts.Verdict.NOT_RUN
        delay_s = CONNECT_TIMEOUT_S
        at(loop, loop.now_s + delay_s, _unreachable, action.worker)
    else:
        verdict = _start(loop, action)
        delay_s = CALL_S
        if loop.rng.random() < LOST_SHARE:
            verdict = verdicts.Verdict.MAY_HAVE_RUN
            delay_s = ANSWER_TIMEOUT_S
    at(loop, loop.now_s + delay_s, _answer, action, verdict)


def _unreachable(loop: Loop, worker: ids.VmId) -> None:
    blames.unreachable(loop.blame, worker, loop.now_s)


def _answer(
    loop: Loop, action: actions.StartTask, verdict: verdicts.Verdict
) -> None:
    loop.changed |= verdict is verdicts.Verdict.NOT_RUN
    task_table.answer(
        loop.table, action.task, action.epoch, verdict, loop.now_s
    )


def _start(loop: Loop, action: actions.StartTask) -> verdicts.Verdict:
    """Do what the worker does with a start."""
    if action.epoch < loop.epochs.get(action.task, 0):
        return verdicts.Verdict.NOT_RUN
    here = loop.copies[action.worker]
    used_gib = sum(
        memory_gib(copy, loop.now_s)
        for copy in here.values()
        if copy.state in _ALIVE
    )
    capacity_gib = loop.workers[action.worker].memory_gib
    if used_gib + action.memory_gib > capacity_gib + 1e-6:
        loop.figures.refused += 1
        return verdicts.Verdict.NOT_RUN
    loop.epochs[action.task] = action.epoch
    truth = loop.truths[action.job]
    factor = loop.rng.uniform(0.9, 1.1)
    truth = dataclasses.replace(
        truth, cores=truth.cores * factor, memory_gib=truth.memory_gib * factor
    )
    copy = Copy(
        action.task,
        action.job,
        action.worker,
        action.epoch,
        demands.Size(action.cores, action.memory_gib),
        truth,
        loop.now_s,
        truth.run_s,
        loop.now_s,
    )
    here[action.task] = copy
    _check(loop, copy)
    if truth.fails or action.worker in loop.inputs.bad_workers:
        at(loop, loop.now_s + FAILS_AFTER_S, _fail, copy, 'failed')
    else:
        at(loop, loop.now_s + truth.run_s, _done, copy)
    return verdicts.Verdict.RAN


def _check(loop: Loop, copy: Copy) -> None:
    """Check the invariants by what the workers see."""
    figures = loop.figures
    alive = loop.alive.setdefault(copy.task, set())
    if alive:
        figures.double_runs += 1
    alive.add(copy.worker)
    arrived_s = loop.arrived_s.pop(copy.task, None)
    if arrived_s is not None:
        figures.urgent_waits_s.append(loop.now_s - arrived_s)


def _done(loop: Loop, copy: Copy) -> None:
    if copy.state not in _ALIVE:
        return
    _account(loop, copy)
    if copy.work_left_s > 1e-6:
        at(loop, loop.now_s + copy.work_left_s / copy.rate, _done, copy)
    else:
        _close(loop, copy, platform_api.TaskState.DONE)


def _fail(loop: Loop, copy: Copy, reason: str) -> None:
    if copy.state in _ALIVE:
        copy.reason = reason
        _close(loop, copy, platform_api.TaskState.FAILED)


def _account(loop: Loop, copy: Copy) -> None:
    copy.work_left_s -= (loop.now_s - copy.since_s) * copy.rate
    copy.since_s = loop.now_s


def _close(loop: Loop, copy: Copy, state: platform_api.TaskState) -> None:
    _account(loop, copy)
    copy.state = state
    copy.ended_s = loop.now_s
    loop.alive[copy.task].discard(copy.worker)
    work = (copy.truth.run_s - copy.work_left_s) * copy.truth.cores
    lost = state in (
        platform_api.TaskState.FAILED,
        platform_api.TaskState.STOPPED,
    )
    if copy.job not in loop.jobs:
        return
    if lost:
        loop.figures.core_s_lost += work
    else:
        loop.figures.core_s_done += work


def _end_arrives(
    loop: Loop,
    action: actions.ThrottleTask | actions.CheckpointTask | actions.StopTask,
) -> None:
    """Do what the worker does with an order for a copy."""
    copy = loop.copies[action.worker].get(action.task)
    if copy is None or copy.epoch != action.epoch:
        return
    if copy.state not in _ALIVE:
        return
    if isinstance(action, actions.ThrottleTask):
        _account(loop, copy)
        copy.rate = 0.25
        copy.state = platform_api.TaskState.THROTTLED
    elif isinstance(action, actions.StopTask):
        at(loop, loop.now_s + 0.1, _ended, copy, True)
    else:
        size_gib = memory_gib(copy, loop.now_s)
        longest_s = 2 * CHECKPOINT_S_PER_GIB * size_gib
        delay_s = MIN_CHECKPOINT_S + loop.rng.uniform(0.3, 1) * longest_s
        at(loop, loop.now_s + delay_s, _ended, copy, False)


def _ended(loop: Loop, copy: Copy, stopped: bool) -> None:
    if copy.state in _ALIVE:
        states = platform_api.TaskState
        _close(loop, copy, states.STOPPED if stopped else states.CHECKPOINTED)


def memory_gib(copy: Copy, now_s: float) -> float:
    """Give the memory that a copy uses now."""
    grown = min((now_s - copy.started_s) / RAMP_S, 1.0)
    return copy.truth.memory_gib * (0.5 + 0.5 * grown)


def _report(loop: Loop) -> None:
    at(loop, loop.now_s + REPORT_S, _report)
    entries = []
    for worker in loop.listed:
        here = loop.copies[worker.vm]
        if worker.vm not in loop.lost:
            _kill_for_memory(loop, worker, here)
        for task, copy in list(here.items()):
            ended = copy.state not in _ALIVE
            if ended and loop.now_s - copy.ended_s > ENDED_KEPT_S:
                del here[task]
            else:
                entries.append(_entry(loop, copy))
    _sample(loop)
    usage = platform_api.UsageReport(REPORT_LAG_S, tuple(entries))
    at(loop, loop.now_s + REPORT_LAG_S, _reported, usage)


def _kill_for_memory(
    loop: Loop, worker: worker_room.Worker, here: dict[str, Copy]
) -> None:
    alive = [copy for copy in here.values() if copy.state in _ALIVE]
    used_gib = sum(memory_gib(copy, loop.now_s) for copy in alive)
    if used_gib <= worker.memory_gib:
        return
    alive.sort(key=lambda copy: copy.given.memory_gib - copy.truth.memory_gib)
    for copy in alive:
        if used_gib <= worker.memory_gib:
            return
        used_gib -= memory_gib(copy, loop.now_s)
        loop.figures.out_of_memory += 1
        _fail(loop, copy, 'out of memory')


def _entry(loop: Loop, copy: Copy) -> platform_api.TaskReport:
    until_s = loop.now_s if copy.state in _ALIVE else copy.ended_s
    return platform_api.TaskReport(
        copy.task,
        copy.job,
        copy.worker,
        copy.epoch,
        copy.state,
        copy.truth.cores * copy.rate,
        memory_gib(copy, until_s),
        until_s - copy.started_s,
        copy.reason,
    )


def _reported(loop: Loop, usage: platform_api.UsageReport) -> None:
    loop.changed = True
    task_table.report(loop.table, usage, loop.now_s)
    if loop.learns:
        demands.observe(loop.demand, usage)
        blames.observe(loop.blame, usage, loop.listed, loop.now_s)


def _sample(loop: Loop) -> None:
    """Sample utilisation, quotas and fairness by what the workers see."""
    figures = loop.figures
    alive = [
        copy
        for vm, here in loop.copies.items()
        if vm not in loop.lost
        for copy in here.values()
        if copy.state in _ALIVE
    ]
    up = [one for vm, one in loop.workers.items() if vm not in loop.lost]
    cores = sum(worker.cores for worker in up)
    capacity_gib = sum(worker.memory_gib for worker in up)
    used_gib = sum(memory_gib(copy, loop.now_s) for copy in alive)
    figures.cores_used.append(
        sum(copy.truth.cores * copy.rate for copy in alive) / cores
    )
    figures.memory_used.append(used_gib / capacity_gib)
    figures.cores_short.append(_cores_short(loop) / cores)
    _check_quotas(loop, alive)
    _sample_fairness(loop)


def _cores_short(loop: Loop) -> float:
    """Sum up the cores that copies would use and their worker hasn't."""
    short = 0.0
    for vm, here in loop.copies.items():
        used = sum(
            copy.truth.cores * copy.rate
            for copy in here.values()
            if copy.state in _ALIVE
        )
        short += max(used - loop.workers[vm].cores, 0.0)
    return short


def _check_quotas(loop: Loop, alive: list[Copy]) -> None:
    held: dict[str, list[float]] = {}
    for copy in alive:
        job = loop.jobs.get(copy.job)
        if job is not None:
            team = held.setdefault(job.team, [0.0, 0.0, 0.0])
            team[0] += 1
            team[1] += copy.given.cores
            team[2] += copy.given.memory_gib
    for team in loop.inputs.teams:
        tasks, cores, memory = held.get(team.name, (0.0, 0.0, 0.0))
        loop.figures.quota_breaches += (
            tasks > team.max_tasks
            or cores > team.max_cores + 1e-6
            or memory > team.max_memory_gib + 1e-6
        )


def _sample_fairness(loop: Loop) -> None:
    """Sample the least share of its quota that a team with work holds.

    As a ratio to the largest share, over the teams whose tasks wait in the
    same pool for room (not for their quota).
    """
    held: dict[tuple[str, str], float] = {}
    waiting: set[tuple[str, str]] = set()
    total: dict[str, float] = {}
    for row in loop.table.rows.values():
        job = loop.jobs.get(row.job)
        if job is None or job.name in loop.inputs.impossible:
            continue
        if row.phase in task_row.LIVE:
            total[job.team] = total.get(job.team, 0.0) + row.cores
        elif row.phase is task_row.Phase.WAITING and not row.failures:
            waiting.add((job.pool, job.team))
    limits = {team.name: team.max_cores for team in loop.inputs.teams}
    for pool, team in waiting:
        share = total.get(team, 0.0) / limits[team]
        if share < 0.9:
            held[pool, team] = share
    shares: dict[str, list[float]] = {}
    for (pool, _), share in held.items():
        shares.setdefault(pool, []).append(share)
    ratios = [
        min(found) / max(found)
        for found in shares.values()
        if len(found) > 1 and max(found) > 0
    ]
    if ratios:
        loop.figures.fairness.append(sum(ratios) / len(ratios))


def _finish(loop: Loop) -> None:
    """Count what runs still, and what never started."""
    horizon_s = loop.inputs.scale.horizon_s
    loop.now_s = horizon_s
    for here in loop.copies.values():
        for copy in here.values():
            if copy.state in _ALIVE:
                _close(loop, copy, platform_api.TaskState.CHECKPOINTED)
    for arrived_s in loop.arrived_s.values():
        if horizon_s - arrived_s > urgent_placement.URGENT_START_S:
            loop.figures.urgent_open += 1
