"""What the platform's advice has said of a step. Pure.

Tickets expire and are replaced every few seconds; on which workers the step
may run doesn't change.
"""

import collections.abc

from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
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
