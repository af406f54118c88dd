"""What pools lack for steps that none of their machines can run.

However long such a step waits, no suitable capacity is freed in its pool. It
gets one machine at a time that might run it.
"""

import collections.abc
import dataclasses

from oleanderwood.capacity import rebalancing
from oleanderwood import event_log
from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.leading import state as states
from oleanderwood.maintenance import fleet
from oleanderwood.pools import advised
from oleanderwood.pools import placing
from oleanderwood.pools import shortage


@dataclasses.dataclass(frozen=True)
class Lack:
    """A step that fits on none of its pool's machines.

    :ivar refused: machines on which the advice refuses it
    """

    needs: model.Resources
    refused: frozenset[str]
    gang: bool


Lacks = dict[tuple[ids.ServiceId, str], list[Lack]]
"""Lacks that a pass has recorded, by pool and label."""


def record_lack(
    view: rebalancing.PoolView,
    group: ledgers.Group,
    machines: collections.abc.Collection[fleet.Machine],
    idle_capacity: collections.abc.Callable[[], list[placing.FreeCapacity]],
    known: Lacks,
    now_s: float,
) -> bool:
    """Record what a step lacks; return whether it fits nowhere in its pool.

    Steps that lack what is recorded aren't checked: in a burst, thousands may
    wait.

    :param machines: all machines
    :param idle_capacity: returns the free capacity of the pool's workers if
        all were idle
    :param known: what this pass has recorded; filled in
    """
    if view.members and not shortage.has_placement_constraint(group):
        return False
    step = group.step
    refused = advised.refused_machines(group, now_s)
    recorded = known.setdefault((view.service, step.label), [])
    if any(_covers(lack, step, refused) for lack in recorded):
        return True
    if not shortage.fits_nowhere(group, idle_capacity(), refused):
        return False
    suitable = [
        row
        for row in machines
        if row.machine not in refused
        and shortage.could_hold(step, row.labels, row.capacity)
    ]
    if _may_others_help(group, view, suitable):
        recorded.append(Lack(step.needs, refused, step.gang))
        unsuitable = {row.machine for row in machines}
        unsuitable.difference_update(row.machine for row in suitable)
        record(view, step.label, frozenset(unsuitable))
    return True


def _covers(lack: Lack, step: model.Step, refused: frozenset[str]) -> bool:
    """Return whether a step lacks at least what another one does."""
    return (
        (step.gang or not lack.gang)
        and model.needs_at_least(step.needs, lack.needs)
        and lack.refused <= refused
    )


def _may_others_help(
    group: ledgers.Group,
    view: rebalancing.PoolView,
    suitable: list[fleet.Machine],
) -> bool:
    """Return whether machines of other pools might run a step.

    :param suitable: machines that can run one of its tasks
    """
    if all(row.pool == view.service for row in suitable):
        return False
    # A gang that does not fit on all machines together would otherwise have
    # machines moved to its pool without end.
    return not group.step.gang or len(group.tasks) <= sum(
        shortage.could_hold(group.step, row.labels, row.capacity)
        for row in suitable
    )


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
