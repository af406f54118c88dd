"""What the platform's advice has said of a step. Pure.

Tickets expire and are replaced every few seconds; on which workers the step
may run doesn't change.
"""

import collections.abc

from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import queues
from oleanderwood.pools import urgency
from oleanderwood.pools import workers as workers_

REFUSAL_MEMORY_S = 30.0
"""Time for which a refusal counts for the machine of the refused worker. The
platform's answer on one worker doesn't change; that it is the same on the
machine's next worker isn't promised."""


def record_refusals(
    group: ledgers.Group,
    asked: collections.abc.Iterable[tuple[str, ids.VmId]],
    now_s: float,
) -> None:
    """Record which machines the last answer on a step refused.

    :param asked: machine and name of each worker that was asked about
    """
    for machine, worker in asked:
        if worker in group.tickets:
            group.refused_until_s.pop(machine, None)
        else:
            group.refused_until_s[machine] = now_s + REFUSAL_MEMORY_S


def refused_machines(group: ledgers.Group, now_s: float) -> frozenset[str]:
    """Return the machines on which the advice refuses a step."""
    return frozenset(
        machine
        for machine, until_s in group.refused_until_s.items()
        if now_s < until_s
    )


def may_run(
    group: ledgers.Group,
    worker: workers_.Worker,
    refused: collections.abc.Container[str],
) -> bool:
    """Return whether the advice allows a step on a worker, or may allow it.

    Holds while tickets are expired or being replaced, too.

    :param refused: machines on which the advice refuses the step
    """
    name = worker.entry.worker
    if group.tickets is not None and name in group.asked:
        return name in group.tickets
    return worker.entry.machine not in refused


def awaits_advice(
    group: ledgers.Group, known: dict[str, queues.Queue], now_s: float
) -> bool:
    """Return whether a step has to wait for advice.

    Until the advice arrives, the workers that may run the step are unknown.
    """
    if not urgency.queue_of(group.entry, known).needs_advice:
        return False
    return group.tickets is None or now_s >= group.advised_until_s


def lacks_advice(
    group: ledgers.Group,
    present: collections.abc.Container[ids.VmId],
    now_s: float,
) -> bool:
    """Return whether advice on a step must be requested, first or again.

    :param present: workers that may accept tasks now or later
    """
    if now_s >= group.advised_until_s:
        return True
    tickets = group.tickets
    return bool(tickets) and not any(name in present for name in tickets)


def has_new_matching_worker(
    group: ledgers.Group,
    workers: collections.abc.Iterable[workers_.Worker],
    service: ids.ServiceId,
) -> bool:
    """Return whether a new worker has the step's label and no advised one has.

    Such a worker is added for this step. While idle it would be removed again
    long before the current advice, which does not include it, expires.
    """
    label = group.step.label
    if not label or group.tickets is None:
        return False
    there = [
        worker.entry.worker
        for worker in workers
        if worker.entry.service == service
        and label in worker.entry.labels
        and not worker.entry.draining
    ]
    return not any(name in group.tickets for name in there) and any(
        name not in group.asked for name in there
    )
