"""Access to the event loop that feeds generated events to placement.

Each event reaches the pure functions as the daemon would bring it.
"""

import heapq
import random
import time

import msgspec

from measure import placement_inputs
from measure import placement_samples
from measure import placement_state
from measure import placement_workers
from oleanderwood import blame as blames
from oleanderwood import configuration
from oleanderwood import demand as demands
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import placement
from oleanderwood import placement_actions as actions
from oleanderwood import placement_policy
from oleanderwood import platform_api
from oleanderwood import task_table
from oleanderwood import urgent_placement
from oleanderwood import verdict as verdicts

STEP_S = 0.5
REPORT_S = 2.0
REPORT_LAG_S = 4.0
CALL_S = 0.03
CONNECT_TIMEOUT_S = 1.0
ANSWER_TIMEOUT_S = 3.0
LOST_SHARE = 0.005
LIST_LAG_S = 10.0
ENDED_KEPT_S = 20.0
DRAIN_AT = 0.2
"""When a rack is drained, as a share of the time followed."""

DRAINED_S = 15.0
RACK_LOSS_AT = 0.5

CANCEL_AT = 0.65
CANCELLED_SHARE = 0.2


def run(
    inputs: placement_inputs.Inputs,
    policy: placement_policy.Policy,
    learns: bool,
    rng: random.Random,
) -> placement_state.Figures:
    """Follow one case to its horizon."""
    loop = placement_state.Loop(
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
        placement_state.Figures(),
        {worker.vm: {} for worker in inputs.workers},
    )
    horizon_s = inputs.scale.horizon_s
    for arrival in inputs.arrivals:
        placement_state.at(loop, arrival.at_s, _arrive, arrival)
    placement_state.at(loop, horizon_s * DRAIN_AT, _drain_rack)
    placement_state.at(loop, horizon_s * RACK_LOSS_AT, _lose_rack)
    placement_state.at(loop, horizon_s * CANCEL_AT, _cancel)
    placement_state.at(loop, 0.01, _step)
    placement_state.at(loop, REPORT_S, _report)
    while loop.heap and loop.heap[0][0] <= horizon_s:
        loop.now_s, _, event, arguments = heapq.heappop(loop.heap)
        event(loop, *arguments)
    _finish(loop)
    return loop.figures


def _arrive(
    loop: placement_state.Loop, arrival: placement_inputs.Arrival
) -> None:
    job = arrival.job
    loop.jobs[job.name] = job
    loop.changed = True
    loop.reconciled = False
    loop.truths[job.name] = arrival.truth
    if job.priority is configuration.Priority.URGENT:
        for index in range(job.tasks):
            task = task_table.task_id(job.name, index)
            loop.arrived_s[task] = loop.now_s


def _drain_rack(loop: placement_state.Loop) -> None:
    """Drain a rack's VMs; each of their copies has to move."""
    rack = loop.inputs.drained_rack
    for vm, here in loop.copies.items():
        if loop.workers[vm].rack == rack:
            loop.figures.moves_needed += sum(
                copy.state in placement_state.ALIVE for copy in here.values()
            )
    _set_state(loop, rack, fleet.VmState.DRAINING)
    back_s = loop.now_s + DRAINED_S
    placement_state.at(loop, back_s, _set_state, rack, fleet.VmState.SERVING)


def _set_state(
    loop: placement_state.Loop, rack: ids.Rack, state: fleet.VmState
) -> None:
    loop.changed = True
    loop.listed = tuple(
        msgspec.structs.replace(one, state=state) if one.rack == rack else one
        for one in loop.listed
    )


def _lose_rack(loop: placement_state.Loop) -> None:
    lost = [
        worker.vm
        for worker in loop.workers.values()
        if worker.rack == loop.inputs.lost_rack
    ]
    loop.lost.update(lost)
    for vm in lost:
        for copy in list(loop.copies[vm].values()):
            if copy.state in placement_state.ALIVE:
                placement_workers.close(
                    loop, copy, platform_api.TaskState.FAILED
                )
        loop.copies[vm].clear()
    placement_state.at(loop, loop.now_s + LIST_LAG_S, _unlist, lost)


def _unlist(loop: placement_state.Loop, lost: list[ids.VmId]) -> None:
    loop.listed = tuple(one for one in loop.listed if one.vm not in lost)


def _cancel(loop: placement_state.Loop) -> None:
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


def _step(loop: placement_state.Loop) -> None:
    """Decide, unless nothing changed since the last decision."""
    placement_state.at(loop, loop.now_s + STEP_S, _step)
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
    starts = sum(isinstance(one, actions.StartTask) for one in decided)
    loop.changed |= starts >= placement.MAX_STARTS
    for action in decided:
        _carry_out(loop, action)


def _carry_out(loop: placement_state.Loop, action: actions.Action) -> None:
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


def _order_start(
    loop: placement_state.Loop, action: actions.StartTask
) -> None:
    operation = ids.OperationId(f'{action.task}-{action.epoch}')
    task_table.note(loop.table, action, operation, loop.now_s)
    placement_state.at(loop, loop.now_s + CALL_S, _start_arrives, action)


def _order_end(
    loop: placement_state.Loop,
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
        placement_state.at(
            loop, loop.now_s + CONNECT_TIMEOUT_S, _unreachable, action.worker
        )
    elif loop.rng.random() >= LOST_SHARE:
        placement_state.at(
            loop, loop.now_s + CALL_S, placement_workers.order, action
        )


def _start_arrives(
    loop: placement_state.Loop, action: actions.StartTask
) -> None:
    if not task_table.may_send(
        loop.table, action.task, action.epoch, loop.now_s
    ):
        return
    if action.worker in loop.lost:
        verdict = verdicts.Verdict.NOT_RUN
        delay_s = CONNECT_TIMEOUT_S
        placement_state.at(
            loop, loop.now_s + delay_s, _unreachable, action.worker
        )
    else:
        verdict = placement_workers.start(loop, action)
        delay_s = CALL_S
        if loop.rng.random() < LOST_SHARE:
            verdict = verdicts.Verdict.MAY_HAVE_RUN
            delay_s = ANSWER_TIMEOUT_S
    placement_state.at(loop, loop.now_s + delay_s, _answer, action, verdict)


def _unreachable(loop: placement_state.Loop, worker: ids.VmId) -> None:
    blames.unreachable(loop.blame, worker, loop.now_s)


def _answer(
    loop: placement_state.Loop,
    action: actions.StartTask,
    verdict: verdicts.Verdict,
) -> None:
    loop.changed |= verdict is verdicts.Verdict.NOT_RUN
    task_table.answer(
        loop.table, action.task, action.epoch, verdict, loop.now_s
    )


def _report(loop: placement_state.Loop) -> None:
    placement_state.at(loop, loop.now_s + REPORT_S, _report)
    entries = []
    for worker in loop.listed:
        here = loop.copies[worker.vm]
        if worker.vm not in loop.lost:
            placement_workers.kill_for_memory(loop, worker, here)
        for task, copy in list(here.items()):
            ended = copy.state not in placement_state.ALIVE
            if ended and loop.now_s - copy.ended_s > ENDED_KEPT_S:
                del here[task]
            else:
                entries.append(placement_workers.entry(loop, copy))
    placement_samples.sample(loop)
    usage = platform_api.UsageReport(REPORT_LAG_S, tuple(entries))
    placement_state.at(loop, loop.now_s + REPORT_LAG_S, _reported, usage)


def _reported(
    loop: placement_state.Loop, usage: platform_api.UsageReport
) -> None:
    loop.changed = True
    task_table.report(loop.table, usage, loop.now_s)
    if loop.learns:
        demands.observe(loop.demand, usage)
        blames.observe(loop.blame, usage, loop.listed, loop.now_s)


def _finish(loop: placement_state.Loop) -> None:
    """Count what runs still, and what never started."""
    horizon_s = loop.inputs.scale.horizon_s
    loop.now_s = horizon_s
    for here in loop.copies.values():
        for copy in here.values():
            if copy.state in placement_state.ALIVE:
                placement_workers.close(
                    loop, copy, platform_api.TaskState.CHECKPOINTED
                )
    for arrived_s in loop.arrived_s.values():
        if horizon_s - arrived_s > urgent_placement.URGENT_START_S:
            loop.figures.urgent_open += 1
