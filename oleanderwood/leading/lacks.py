"""What pools lack for steps that none of their machines can run.

However long such a step waits, no suitable capacity is freed in its pool. It
gets one machine at a time that might run it.
"""

import collections.abc

from oleanderwood.capacity import rebalancing
from oleanderwood import event_log
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.leading import state as states
from oleanderwood.maintenance import fleet
from oleanderwood.pools import advised
from oleanderwood.pools import shortage

TooSmall = dict[tuple, frozenset[str]]
"""Machines that can't hold one task, by what a step asks of a machine."""


def unsuitable_machines(
    group: ledgers.Group,
    machines: collections.abc.Collection[fleet.Machine],
    too_small: TooSmall,
    now_s: float,
) -> frozenset[str]:
    """Return the machines that can't run a step, even if they are idle.

    They are too small, lack its label, or the advice refuses them.

    :param too_small: filled in; valid for this list of machines
    """
    step = group.step
    key = step.label, step.needs, step.max_per_worker
    if key not in too_small:
        too_small[key] = frozenset(
            row.machine
            for row in machines
            if not shortage.could_hold(step, row.labels, row.capacity)
        )
    refused = advised.refused_machines(group, now_s)
    return too_small[key] | refused if refused else too_small[key]


def is_recorded(
    view: rebalancing.PoolView,
    group: ledgers.Group,
    unsuitable: frozenset[str],
) -> bool:
    """Return whether what is recorded for a pool covers a step's lack."""
    label = group.step.label
    if label not in view.lacks_labels:
        return False
    return view.unsuitable[label] <= unsuitable


def may_lack_machines(
    view: rebalancing.PoolView,
    group: ledgers.Group,
    unsuitable: frozenset[str],
) -> bool:
    """Return whether a step may add to what its pool lacks."""
    if group.step.label in view.lacks_labels:
        return not is_recorded(view, group, unsuitable)
    return not view.members or shortage.has_placement_constraint(group)


def record(
    view: rebalancing.PoolView, label: str, unsuitable: frozenset[str]
) -> None:
    """Record that a step fits on none of its pool's machines.

    :param label: label that the step asks for, or none
    :param unsuitable: machines that can't run the step
    """
    view.lacks_labels.add(label)
    others = view.unsuitable.get(label, unsuitable)
    view.unsuitable[label] = unsuitable & others
    if not label:
        view.lacks_suitable_machine = True


def may_others_help(
    group: ledgers.Group,
    view: rebalancing.PoolView,
    machines: collections.abc.Collection[fleet.Machine],
    unsuitable: frozenset[str],
) -> bool:
    """Return whether machines of other pools might run a step.

    :param machines: all machines
    :param unsuitable: machines that can't run the step
    """
    suitable = [row for row in machines if row.machine not in unsuitable]
    if all(row.pool == view.service for row in suitable):
        return False
    # A gang that does not fit on all machines together would otherwise have
    # machines moved to its pool without end.
    return not group.step.gang or len(group.tasks) <= sum(
        shortage.could_hold(group.step, row.labels, row.capacity)
        for row in suitable
    )


def log_changes(
    leader: states.Leader,
    views: collections.abc.Iterable[rebalancing.PoolView],
) -> None:
    """Log the labels that pools lack, whenever they change.

    An empty label stands for steps that ask for none.
    """
    found = {
        view.service: sorted(view.lacks_labels)
        for view in views
        if view.lacks_labels
    }
    if found != leader.fleet.logged_lacks:
        leader.fleet.logged_lacks = found
        event_log.emit('fleet', 'lacks', labels=found)
