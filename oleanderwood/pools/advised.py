"""Remembers on which machines the advice refuses a step. Pure."""

import collections.abc

from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers

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
