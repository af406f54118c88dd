"""The leader's maintenance of machines in waves."""

import dataclasses

import curio

from oleanderwood import clock
from oleanderwood import errors
from oleanderwood import event_log
from oleanderwood.leading import closing
from oleanderwood.leading import fenced_writes
from oleanderwood.leading import machine_handover
from oleanderwood.leading import pool_loop
from oleanderwood.leading import relocations
from oleanderwood.leading import state as states
from oleanderwood.leading import stored_waves
from oleanderwood.maintenance import disruption_budget
from oleanderwood.maintenance import rolling
from oleanderwood.platform import machines as machine_calls
from oleanderwood.platform import operator
from oleanderwood.policy import hours
from oleanderwood.policy import model as policies
from oleanderwood.pools import workers as workers_
from oleanderwood import server_metrics
from oleanderwood import verdict as verdicts

PASS_INTERVAL_S = 0.1
"""Interval between two passes over the waves."""

READ_INTERVAL_S = 0.3
"""Interval between two readings of the machine list."""

REFUSED_PAUSE_S = 0.5
"""Pause before a machine that refused an order is ordered again."""

FINAL_REFUSALS = (
    machine_calls.Outcome.NOT_OF_WAVE,
    machine_calls.Outcome.INVALID,
)
"""Answers that hold for each later order of the same kind as well."""


async def manage_always(leader: states.Leader) -> None:
    """Advance waves, detect dead machines, balance pools until cancelled."""
    while True:
        await curio.sleep(PASS_INTERVAL_S)
        if not states.may_act(leader):
            continue
        if clock.now_s() - leader.fleet.machines_asked_s >= READ_INTERVAL_S:
            await pool_loop.read_machines(leader)
        for progress in list(leader.fleet.waves.values()):
            if not progress.completed:
                await _advance(leader, progress)
        closing.update(leader)
        await pool_loop.balance(leader)


def _workers_by_machine(leader: states.Leader) -> dict[str, workers_.Worker]:
    found = {}
    for name, machine in leader.fleet.machines.items():
        worker = states.latest_incarnation(leader, machine.worker)
        if worker is not None and worker.entry.machine == name:
            found[name] = worker
    return found


async def _advance(leader: states.Leader, progress: rolling.Progress) -> None:
    now_s = clock.now_s()
    settings = leader.server.settings
    if (
        now_s - leader.fleet.machines_read_s > 2 * READ_INTERVAL_S
        or not leader.fleet.machines
    ):
        rolling.update_closed(progress, frozenset(), now_s)
        return
    by_machine = _workers_by_machine(leader)
    decision = rolling.decide(
        progress,
        leader.fleet.machines,
        by_machine,
        settings.maintenance_s,
        now_s,
        _bounds(leader),
    )
    closed = progress.closed
    rolling.update_closed(progress, decision.close, now_s)
    if progress.closed != closed:
        closing.update(leader)
    if decision.waits != progress.waits:
        progress.waits = decision.waits
        event_log.emit(
            'wave',
            'waits',
            wave=progress.wave.wave,
            machines=decision.waits,
            down=sorted(progress.down),
        )
    _log_late(progress, now_s)
    if decision.relocate is not None and not decision.order:
        await relocations.relocate(leader, decision.relocate)
    to_order = [
        name
        for name in decision.order
        if machine_handover.may_order(leader, name)
    ][: machine_handover.allowance(leader)]
    if to_order and not await machine_handover.announce(
        leader, to_order, stored_waves.encode(progress, to_order)
    ):
        return
    leader.fleet.orders_left -= len(to_order)
    for name in to_order:
        await _maintain(leader, progress, name, by_machine.get(name))
    if to_order:
        # The list shows which machines went down: one that was already
        # maintained by an earlier leader's order stays up.
        await pool_loop.read_machines(leader)
        await stored_waves.write(leader, progress)
    await _write_status(leader, progress, decision.completed)


def _log_late(progress: rolling.Progress, now_s: float) -> None:
    """Log and count a wave once its time is over, with what it waits for."""
    if progress.is_late_logged or not rolling.is_late(progress, now_s):
        return
    progress.is_late_logged = True
    server_metrics.LATE_WAVES.inc()
    event_log.emit(
        'wave',
        'late',
        wave=progress.wave.wave,
        left=len(progress.wave.machines) - len(progress.begun),
        machines=progress.waits,
        down=sorted(progress.down),
    )


def _bounds(leader: states.Leader) -> rolling.Bounds:
    """Return the operators' current limits on maintenance."""
    policy = leader.policy.policy
    wall_s = clock.wall_ms() / 1000
    quiet = any(
        hours.left_s(hours.read(text), wall_s) > 0
        for text in policy.maintenance.not_between
    )
    return rolling.Bounds(
        policies.min_up(policy),
        {service: need.work for service, need in leader.fleet.needs.items()},
        policy.maintenance.hold,
        quiet,
    )


async def _maintain(
    leader: states.Leader,
    progress: rolling.Progress,
    name: str,
    worker: workers_.Worker | None,
) -> None:
    if not states.holds_lease(leader):
        return
    now_s = clock.now_s()
    if worker is not None and not disruption_budget.may_interrupt_all(
        worker, now_s
    ):
        # An earlier order of this pass has used up the disruption budget.
        return
    earlier = progress.down.get(name)
    order = rolling.MaintenanceOrder(leader.fleet.machines[name].worker, now_s)
    progress.down[name] = order
    if worker is not None:
        disruption_budget.mark_unavailable(worker, now_s)
    try:
        outcome = await machine_calls.maintain(
            leader.machine_calls, name, progress.wave.wave, leader.term
        )
    except errors.CallFailed as error:
        _log_unanswered(progress, name, error, repeated=earlier is not None)
        if error.verdict is verdicts.Verdict.NOT_RUN:
            _withdraw(progress, name, earlier)
        progress.refused_until_s[name] = clock.now_s() + REFUSED_PAUSE_S
        return
    finally:
        machine_handover.record_order(leader, name)
    _log_answered(
        progress, name, outcome, worker, repeated=earlier is not None
    )
    if outcome is machine_calls.Outcome.DONE:
        progress.begun.add(name)
        progress.down[name] = dataclasses.replace(order, taken=True)
    elif outcome in FINAL_REFUSALS:
        progress.begun.add(name)
        del progress.down[name]
    else:
        _withdraw(progress, name, earlier)
        progress.refused_until_s[name] = clock.now_s() + REFUSED_PAUSE_S


def _log_unanswered(
    progress: rolling.Progress,
    name: str,
    error: errors.CallFailed,
    repeated: bool,
) -> None:
    verdict = error.verdict.value
    server_metrics.MACHINE_ORDERS.labels('maintain', verdict).inc()
    event_log.emit(
        'wave',
        'doubtful',
        wave=progress.wave.wave,
        machine=name,
        verdict=verdict,
        repeated=repeated,
        why=error.reason,
    )


def _log_answered(
    progress: rolling.Progress,
    name: str,
    outcome: machine_calls.Outcome,
    worker: workers_.Worker | None,
    repeated: bool,
) -> None:
    server_metrics.MACHINE_ORDERS.labels('maintain', outcome.value).inc()
    event_log.emit(
        'wave',
        'ordered',
        wave=progress.wave.wave,
        machine=name,
        outcome=outcome.value,
        repeated=repeated,
        runs=len(worker.runs) if worker else 0,
        left=len(progress.wave.machines) - len(progress.begun) - 1,
    )


def _withdraw(
    progress: rolling.Progress,
    name: str,
    earlier: rolling.MaintenanceOrder | None,
) -> None:
    """Record that the latest order for a machine was not carried out.

    An earlier one that got no answer may still be.
    """
    if earlier is not None:
        progress.down[name] = earlier
    else:
        del progress.down[name]


async def _write_status(
    leader: states.Leader, progress: rolling.Progress, completed: bool
) -> None:
    status = 'completed' if completed else 'running'
    if progress.status_written == status:
        return
    key = f'{operator.WAVE_STATUS_PREFIX}{progress.wave.wave}'
    value = operator.encode_wave_status(completed)
    if not await fenced_writes.try_write(
        leader, {key: value}, 'wave', 'status-not-written'
    ):
        return
    progress.status_written = status
    event_log.emit('wave', status, wave=progress.wave.wave)
    progress.completed = completed
