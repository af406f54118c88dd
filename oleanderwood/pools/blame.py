"""Which of its tasks a worker's crash is put down to. Pure."""

import collections.abc

from oleanderwood.jobs import crashes as crashes_
from oleanderwood.jobs import isolation
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.pools import workers as workers_

TOGETHER_S = 0.1
TOGETHER = 3
"""So many workers that go within so much time of each other have a cause of
their own: a rack, a switch, a site's power."""


def is_common(
    gone_s: float, others_s: collections.abc.Iterable[float]
) -> bool:
    """Say whether a worker went together with others.

    :param gone_s: when it went
    :param others_s: when all others did that did lately
    """
    together = sum(abs(at_s - gone_s) <= TOGETHER_S for at_s in others_s)
    return together + 1 >= TOGETHER


def put_down(
    ledger: ledgers.Ledger,
    losses: list[workers_.Loss],
    common: bool,
    now_s: float,
) -> list[ledgers.Task]:
    """Put the crash of a worker down to tasks; gives those suspected by now.

    To the one that was on probation there and, beside what was started not
    long before, to nothing else; otherwise to all that hasn't proven itself.

    :param common: the worker went together with others: how young a run was
        proves nothing then
    """
    losses = [row for row in losses if not workers_.serves(row.task, now_s)]
    accused = [row for row in losses if isolation.is_on_probation(row.task)]
    unproven = [row for row in losses if not row.task.run.proven]
    if accused:
        others = [row for row in unproven if row not in accused]
        unsettled = [row for row in others if not _is_settled(row)]
        blamed = accused + unsettled
        units = {_unit(row.task) for row in accused}
        isolated = len(units) == 1 and not unsettled and not common
    else:
        blamed = unproven or losses
        isolated = False
    suspected = []
    for row in blamed:
        task = row.task
        age_ms = -1
        if row.age_s is not None and not common:
            age_ms = round(row.age_s * 1000)
        doubt_ms = round(row.doubt_s * 1000)
        crash = crashes_.Crash(task.run.attempt, age_ms, doubt_ms, isolated)
        isolation.note(ledger, task, crash, now_s)
        if task.index in task.group.suspects:
            suspected.append(task)
    return suspected


def is_settled(losses: list[workers_.Loss]) -> bool:
    """Say whether nothing that a worker took along was started lately."""
    return all(_is_settled(row) for row in losses)


def _is_settled(row: workers_.Loss) -> bool:
    return row.age_s is not None and row.age_s >= crashes_.SETTLED_S


def _unit(task: ledgers.Task) -> ledgers.Group | str:
    """Give what is to blame as one: a gang, or else a task."""
    return task.group if task.group.step.gang else task.name
