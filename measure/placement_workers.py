"""Access to what workers do in the placement measurement.

No more than the platform's interface says of them.
"""

import dataclasses

from measure import placement_state
from oleanderwood import demand as demands
from oleanderwood import placement_actions as actions
from oleanderwood import platform_api
from oleanderwood import verdict as verdicts
from oleanderwood import worker_room

MIN_CHECKPOINT_S = 0.3
CHECKPOINT_S_PER_GIB = 0.05
FAILS_AFTER_S = 1.0


def start(
    loop: placement_state.Loop, action: actions.StartTask
) -> verdicts.Verdict:
    """Do what the worker does with a start."""
    if action.epoch < loop.epochs.get(action.task, 0):
        return verdicts.Verdict.NOT_RUN
    here = loop.copies[action.worker]
    used_gib = sum(
        placement_state.memory_gib(copy, loop.now_s)
        for copy in here.values()
        if copy.state in placement_state.ALIVE
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
    copy = placement_state.Copy(
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
        placement_state.at(
            loop, loop.now_s + FAILS_AFTER_S, _fail, copy, 'failed'
        )
    else:
        placement_state.at(loop, loop.now_s + truth.run_s, _done, copy)
    return verdicts.Verdict.RAN


def _check(loop: placement_state.Loop, copy: placement_state.Copy) -> None:
    """Check the invariants by what the workers see."""
    figures = loop.figures
    alive = loop.alive.setdefault(copy.task, set())
    if alive:
        figures.double_runs += 1
    alive.add(copy.worker)
    arrived_s = loop.arrived_s.pop(copy.task, None)
    if arrived_s is not None:
        figures.urgent_waits_s.append(loop.now_s - arrived_s)


def _done(loop: placement_state.Loop, copy: placement_state.Copy) -> None:
    if copy.state not in placement_state.ALIVE:
        return
    _account(loop, copy)
    if copy.work_left_s > 1e-6:
        placement_state.at(
            loop, loop.now_s + copy.work_left_s / copy.rate, _done, copy
        )
    else:
        close(loop, copy, platform_api.TaskState.DONE)


def _fail(
    loop: placement_state.Loop, copy: placement_state.Copy, reason: str
) -> None:
    if copy.state in placement_state.ALIVE:
        copy.reason = reason
        close(loop, copy, platform_api.TaskState.FAILED)


def _account(loop: placement_state.Loop, copy: placement_state.Copy) -> None:
    copy.work_left_s -= (loop.now_s - copy.since_s) * copy.rate
    copy.since_s = loop.now_s


def close(
    loop: placement_state.Loop,
    copy: placement_state.Copy,
    state: platform_api.TaskState,
) -> None:
    """End a copy, and count what it did."""
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


def order(
    loop: placement_state.Loop,
    action: actions.ThrottleTask | actions.CheckpointTask | actions.StopTask,
) -> None:
    """Do what the worker does with an order for a copy."""
    copy = loop.copies[action.worker].get(action.task)
    if copy is None or copy.epoch != action.epoch:
        return
    if copy.state not in placement_state.ALIVE:
        return
    if isinstance(action, actions.ThrottleTask):
        _account(loop, copy)
        copy.rate = 0.25
        copy.state = platform_api.TaskState.THROTTLED
    elif isinstance(action, actions.StopTask):
        placement_state.at(loop, loop.now_s + 0.1, _ended, copy, True)
    else:
        size_gib = placement_state.memory_gib(copy, loop.now_s)
        longest_s = 2 * CHECKPOINT_S_PER_GIB * size_gib
        delay_s = MIN_CHECKPOINT_S + loop.rng.uniform(0.3, 1) * longest_s
        placement_state.at(loop, loop.now_s + delay_s, _ended, copy, False)


def _ended(
    loop: placement_state.Loop, copy: placement_state.Copy, stopped: bool
) -> None:
    if copy.state in placement_state.ALIVE:
        states = platform_api.TaskState
        close(loop, copy, states.STOPPED if stopped else states.CHECKPOINTED)


def kill_for_memory(
    loop: placement_state.Loop,
    worker: worker_room.Worker,
    here: dict[str, placement_state.Copy],
) -> None:
    """Kill copies of a worker until the rest has enough memory."""
    alive = [
        copy for copy in here.values() if copy.state in placement_state.ALIVE
    ]
    used_gib = sum(
        placement_state.memory_gib(copy, loop.now_s) for copy in alive
    )
    if used_gib <= worker.memory_gib:
        return
    alive.sort(key=lambda copy: copy.given.memory_gib - copy.truth.memory_gib)
    for copy in alive:
        if used_gib <= worker.memory_gib:
            return
        used_gib -= placement_state.memory_gib(copy, loop.now_s)
        loop.figures.out_of_memory += 1
        _fail(loop, copy, 'out of memory')


def entry(
    loop: placement_state.Loop, copy: placement_state.Copy
) -> platform_api.TaskReport:
    """Make what a usage report says of a copy."""
    until_s = (
        loop.now_s if copy.state in placement_state.ALIVE else copy.ended_s
    )
    return platform_api.TaskReport(
        copy.task,
        copy.job,
        copy.worker,
        copy.epoch,
        copy.state,
        copy.truth.cores * copy.rate,
        placement_state.memory_gib(copy, until_s),
        until_s - copy.started_s,
        copy.reason,
    )
