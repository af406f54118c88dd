"""Which waiting task starts on which worker. Pure.

Load it answers: each queue asks by turns for five times its mean, more than
its pool holds, and nearly nothing in between.
"""

import collections.abc
import dataclasses
import itertools

from oleanderwood import ids
from oleanderwood.jobs import crashes as crashes_
from oleanderwood.jobs import isolation
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.jobs import queues
from oleanderwood.pools import lengths as lengths_
from oleanderwood.pools import quotas as quotas_
from oleanderwood.pools import reports
from oleanderwood.pools import workers as workers_

InTurn = collections.abc.Callable[[list[ledgers.Group]], list[ledgers.Group]]

LASTING_TOGETHER = 3
"""Long-running tasks of one step that are put on one worker. More on one
free whole machines for other pools; fewer make maintenance quicker, which
has to take them away one by one."""

LATE_FACTOR = 3.0
"""A job is worth something up to this many times its objective."""


LATENESS_MARGIN = 1.25
"""A job counts as late once its next step would have to take this many times
less than expected: begun at the edge, every second one ends late."""


SET_APART_PART = 2
"""Not more than one in so many workers of a pool is kept for tasks that are
suspected of crashing theirs, one at least."""

PARTED_S = 0.4
"""Time after which the rest of a gang is stopped that lacks a member. What
was whole breaks by itself, and is told of within this time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """One start that was decided."""

    task: ledgers.Task
    worker: workers_.Worker


@dataclasses.dataclass(slots=True)
class Room:
    """What is free on a worker while starts are decided.

    :ivar filling: processor time that tasks which use leftovers ask for
    :ivar mates: tasks there, by their step
    :ivar refused: the least needs that there was lately no room for
    :ivar apart: kept for a task that is suspected of crashing its worker
    :ivar unsettled_s: time until nothing else there could crash it
    """

    worker: workers_.Worker
    cpu_millicores: int
    memory_mb: int
    gpus: int
    rack: str
    suspect: bool
    batch: int = 0
    lasting: int = 0
    serving: bool = False
    filling: int = 0
    refused: model.Resources | None = None
    apart: bool = False
    unsettled_s: float = 0.0
    mates: dict[ledgers.Group, int] = dataclasses.field(default_factory=dict)


def rooms(pool: list[workers_.Worker], now_s: float) -> list[Room]:
    """Give the room of the workers that may be given tasks."""
    found = []
    for worker in pool:
        if not workers_.accepts(worker, now_s):
            continue
        capacity = worker.entry.capacity
        room = Room(
            worker,
            capacity.cpu_millicores,
            capacity.memory_mb,
            capacity.gpus,
            reports.rack(worker.entry),
            workers_.suspect(worker),
        )
        room.refused = workers_.refused(worker, now_s)
        for task in worker.runs.values():
            _take(room, task.group)
            room.serving = (
                room.serving or task.group.step.latency_target_ms > 0
            )
            if task.group.suspects and isolation.is_on_probation(task):
                room.apart = True
        for group in worker.foreign:
            _occupy(room, group)
        found.append(room)
    return found


def _note_unsettled(free: list[Room], now_s: float) -> None:
    """Note for how long something on each worker could yet crash it."""
    for room in free:
        for task in room.worker.runs.values():
            if not task.run.proven:
                left_s = crashes_.SETTLED_S - (now_s - task.run.begun_s)
                room.unsettled_s = max(room.unsettled_s, left_s)


def decide(
    groups: list[ledgers.Group],
    pool: list[workers_.Worker],
    now_s: float,
    most: int,
    quotas: quotas_.Quotas | None = None,
) -> list[Placement]:
    """Decide starts for the groups in their order.

    :param most: starts to decide at once
    :param quotas: what is left to teams; it is drawn on
    """
    free = rooms(pool, now_s)
    if any(group.suspects for group in groups):
        _note_unsettled(free, now_s)
    quotas = quotas or quotas_.Quotas()
    unmet = Unmet()
    decided: list[Placement] = []
    for group in groups:
        if not free or len(decided) >= most:
            break
        if _is_unmet(unmet, group):
            continue
        if group.step.gang:
            decided += _place_gang(group, free, now_s, quotas)
        else:
            left = most - len(decided)
            decided += _place_tasks(group, free, now_s, left, quotas, unmet)
    return decided


@dataclasses.dataclass
class Unmet:
    """What no worker of a pool has room for, while starts are decided.

    Room only shrinks meanwhile, so what needs as much needs no second look: in
    a turn that a large pool can't hold, most steps wait.

    :ivar lasting: needs of a task that lasts, for which all workers do
    :ivar passing: needs of other tasks
    """

    lasting: list[model.Resources] = dataclasses.field(default_factory=list)
    passing: list[model.Resources] = dataclasses.field(default_factory=list)


def _note_unmet(unmet: Unmet, group: ledgers.Group) -> None:
    """Note that one more task of a group fits nowhere.

    What is bound to some workers says nothing of the others.
    """
    step = group.step
    bound = step.label or step.max_per_worker or group.tickets is not None
    if bound or step.uses_leftover:
        return
    rows = unmet.lasting if step.lasting else unmet.passing
    rows.append(step.needs)


def _is_unmet(unmet: Unmet, group: ledgers.Group) -> bool:
    """Say whether it is known that no task of a group fits anywhere."""
    step = group.step
    if step.uses_leftover:
        return False
    rows = unmet.lasting
    if not step.lasting:
        rows = rows + unmet.passing
    return any(model.asks_as_much(step.needs, row) for row in rows)


def _place_tasks(
    group: ledgers.Group,
    free: list[Room],
    now_s: float,
    most: int,
    quotas: quotas_.Quotas,
    unmet: Unmet,
) -> list[Placement]:
    placed: list[Placement] = []
    for task in isolation.startable(group):
        if len(placed) >= most or not quotas_.allows(quotas, group):
            break
        if task.not_before_s > now_s:
            continue
        best = _best(group, task, free)
        if best is None:
            _note_unmet(unmet, group)
            break
        if task.index in group.suspects and not _set_apart(best, free):
            break
        _take(best, group)
        best.unsettled_s = crashes_.SETTLED_S
        quotas_.take(quotas, group)
        placed.append(Placement(task, best.worker))
    return placed


def _set_apart(room: Room, free: list[Room]) -> bool:
    """Keep a worker for a suspected task; says whether that may start now.

    Until all that runs there has settled nothing else is started there.
    """
    kept = sum(other.apart for other in free)
    if kept >= max(1, len(free) // SET_APART_PART):
        return False
    room.apart = True
    return room.unsettled_s <= 0.0


def _settled(
    group: ledgers.Group, placed: list[Placement], free: list[Room]
) -> list[Placement]:
    """Keep the workers of a suspected gang; gives none until they settle."""
    used = {id(row.worker) for row in placed}
    rooms_ = [room for room in free if id(room.worker) in used]
    for room in rooms_:
        room.apart = True
    if all(room.unsettled_s <= 0.0 for room in rooms_):
        return placed
    by_worker = {id(room.worker): room for room in rooms_}
    for row in placed:
        _give_back(by_worker[id(row.worker)], group)
    return []


def _best(
    group: ledgers.Group, task: ledgers.Task, free: list[Room]
) -> Room | None:
    fitting = [room for room in free if fits(room, group)]
    if not fitting:
        return None
    return min(fitting, key=lambda room: _preference(room, group, task))


def _preference(room: Room, group: ledgers.Group, task: ledgers.Task):
    """Order workers: sound ones first, near the data, then the fullest.

    All are packed, so that whole workers stay free, which may move. Tasks
    that last go where others last, but not all to one worker.
    """
    if group.suspects:
        # A crash must have one explanation, and take little along.
        return (room.suspect, room.unsettled_s, room.lasting, room.batch)
    step = group.step
    near = not step.near_rack or room.rack == step.near_rack
    lasts = step.lasting
    return (
        room.suspect,
        room.worker.entry.worker == task.failed_on,
        not near,
        lasts and room.worker.due,
        lasts and room.mates.get(group, 0) >= LASTING_TOGETHER,
        step.uses_leftover and room.serving,
        lasts and not room.lasting,
        _missing(room, group),
        room.cpu_millicores,
    )


def _missing(room: Room, group: ledgers.Group) -> int:
    """Give what tasks that use leftovers would lack with one more of them."""
    if not group.step.uses_leftover:
        return 0
    asked = room.filling + _filling(group)
    return max(0, asked - room.cpu_millicores)


def _filling(group: ledgers.Group) -> int:
    step = group.step
    return step.needs.cpu_millicores if step.uses_leftover else 0


def fits(room: Room, group: ledgers.Group) -> bool:
    """Say whether one more task of a group may start on a worker."""
    if room.apart:
        return False
    step = group.step
    needs = step.needs
    if not step.uses_leftover and needs.cpu_millicores > room.cpu_millicores:
        return False
    if needs.memory_mb > room.memory_mb or needs.gpus > room.gpus:
        return False
    if room.refused is not None and model.asks_as_much(needs, room.refused):
        return False
    if group.tickets is not None:
        if room.worker.entry.worker not in group.tickets:
            return False
    if step.label and step.label not in room.worker.entry.labels:
        return False
    most = step.max_per_worker
    if most and room.mates.get(group, 0) >= most:
        return False
    if room.worker.slow and not step.lasting:
        return False
    return not (room.suspect and room.batch > 0)


def has_room(
    group: ledgers.Group, pool: list[workers_.Worker], now_s: float
) -> bool:
    """Say whether one more task of a group may start on some worker."""
    return any(fits(room, group) for room in rooms(pool, now_s))


def _take(room: Room, group: ledgers.Group) -> None:
    _occupy(room, group)
    room.filling += _filling(group)
    room.batch += not group.step.lasting
    room.lasting += group.step.lasting


def _occupy(room: Room, group: ledgers.Group) -> None:
    """Take room for a task that may not be one of ours."""
    needs = group.step.needs
    if not group.step.uses_leftover:
        room.cpu_millicores -= needs.cpu_millicores
    room.memory_mb -= needs.memory_mb
    room.gpus -= needs.gpus
    room.mates[group] = room.mates.get(group, 0) + 1


def _give_back(room: Room, group: ledgers.Group) -> None:
    needs = group.step.needs
    if not group.step.uses_leftover:
        room.cpu_millicores += needs.cpu_millicores
    room.memory_mb += needs.memory_mb
    room.gpus += needs.gpus
    room.mates[group] -= 1
    room.filling -= _filling(group)
    room.batch -= not group.step.lasting
    room.lasting -= group.step.lasting


def _place_gang(
    group: ledgers.Group,
    free: list[Room],
    now_s: float,
    quotas: quotas_.Quotas,
) -> list[Placement]:
    """Place all tasks of a gang or none."""
    members = [task for task in group.tasks if not task.done]
    if any(task.run is not None for task in members):
        return []
    if group.suspects and not isolation.is_kept(group.entry):
        return []
    if not quotas_.allows(quotas, group, len(members)):
        return []
    if any(task.not_before_s > now_s for task in members):
        return []
    quiet = free
    if group.step.uses_leftover:
        # Beside tasks that serve, a gang that uses leftovers is held back.
        quiet = [room for room in free if not room.serving]
    choices = [*racks_for(group, quiet), *racks_for(group, free), quiet, free]
    for choice in choices:
        placed = place_all(group, members, choice)
        if placed and group.suspects:
            placed = _settled(group, placed, free)
        for row in placed:
            quotas_.take(quotas, row.task.group)
        if placed:
            return placed
    return []


def racks_for(group: ledgers.Group, free: list[Room]) -> list[list[Room]]:
    """Give the room of each rack for a gang that stays in one, best first."""
    if not group.step.one_rack:
        return []
    # As the workers come: of a set, the order differs from process to process.
    racks = dict.fromkeys(room.rack for room in free)
    near = group.step.near_rack
    return [
        [room for room in free if room.rack == rack]
        for rack in sorted(racks, key=lambda name: name != near)
    ]


def parted(
    groups: collections.abc.Iterable[ledgers.Group], now_s: float
) -> list[ledgers.Task]:
    """Give the members of gangs that run while others don't.

    They all start at once, so that such a gang can't become whole any more.
    """
    found: list[ledgers.Task] = []
    for group in groups:
        if not group.step.gang or not group.waiting:
            continue
        waiting = group.waiting.values()
        if now_s - max(task.away_since_s for task in waiting) >= PARTED_S:
            found += [task for task in group.tasks if task.run is not None]
    return found


def place_all(
    group: ledgers.Group, members: list[ledgers.Task], free: list[Room]
) -> list[Placement]:
    """Place all of some tasks, or none; their room is taken."""
    taken: list[Room] = []
    placed: list[Placement] = []
    for task in members:
        best = _best(group, task, free)
        if best is None:
            for room in taken:
                _give_back(room, group)
            return []
        _take(best, group)
        taken.append(best)
        placed.append(Placement(task, best.worker))
    return placed


def could_place_all(
    group: ledgers.Group, members: list[ledgers.Task], free: list[Room]
) -> bool:
    """Say whether all of some tasks could be placed; takes no room."""
    placed = place_all(group, members, free)
    by_worker = {id(room.worker): room for room in free}
    for row in placed:
        _give_back(by_worker[id(row.worker)], group)
    return bool(placed)


def objective_s(
    entry: ledgers.Entry, queue: queues.Queue, lengths: lengths_.Lengths
) -> float:
    """Give the time in which a job should be done, by what it should take."""
    chain_s = model.longest_chain_s(
        entry.job.work, lengths_.of_job(lengths, entry)
    )
    return queue.stretch * chain_s + queue.objective_ms / 1000


def left_s(
    group: ledgers.Group,
    queue: queues.Queue,
    lengths: lengths_.Lengths,
    now_s: float,
) -> float:
    """Give the time in which a step has to end for its job to be in time."""
    entry = group.entry
    expected_s = lengths_.of_job(lengths, entry)
    work = entry.job.work
    rest_s = model.remaining_chain_s(work, group.number, expected_s)
    after_s = rest_s - expected_s[group.number]
    age_s = now_s - entry.arrived_s
    return objective_s(entry, queue, lengths) - age_s - after_s


def hopeless(
    entry: ledgers.Entry,
    queue: queues.Queue,
    lengths: lengths_.Lengths,
    now_s: float,
) -> bool:
    """Say whether a job is too late to be worth anything to its caller."""
    if entry.groups[0, 0].step.lasting:
        return False
    age_s = now_s - entry.arrived_s
    return age_s > LATE_FACTOR * objective_s(entry, queue, lengths)


def rank(
    group: ledgers.Group,
    queue: queues.Queue,
    lengths: lengths_.Lengths,
    now_s: float,
):
    """Order the groups of a pool; lower goes first.

    Tasks that last go first: their work counts by the second. Then by
    priority; then jobs that can still be on time in order of arrival, then
    those that can't, and last those that are worthless by now and what a
    tenant sends beyond what it may count on. A job that
    would begin at the edge of its time would end late and make the next one
    late as well; in a turn that a pool can't hold, all would be.
    """
    entry = group.entry
    if group.step.lasting:
        return (0, queue.priority, 0, entry.arrived_s, group.number)
    tier = 0
    if entry.beyond or hopeless(entry, queue, lengths, now_s):
        tier = 2
    elif _is_late(group, queue, lengths, now_s):
        tier = 1
    return (1, queue.priority, tier, entry.arrived_s, group.number)


def _is_late(
    group: ledgers.Group,
    queue: queues.Queue,
    lengths: lengths_.Lengths,
    now_s: float,
) -> bool:
    """Say whether a job can't be in time if a step of it begins now."""
    length_s = lengths_.of_job(lengths, group.entry)[group.number]
    left = left_s(group, queue, lengths, now_s)
    return left < LATENESS_MARGIN * length_s


def by_service(
    ledger: ledgers.Ledger,
    known: dict[str, queues.Queue],
    lengths: lengths_.Lengths,
    wall_ms: float,
    now_s: float,
    only: set[ids.ServiceId] | None = None,
    in_turn: InTurn = list,
) -> dict[ids.ServiceId, list[ledgers.Group]]:
    """Give the groups whose turn has come, in order, by pool.

    :param only: the pools that are asked for; None: all of them
    :param in_turn: orders groups of the same urgency by their tenants
    """
    ready: dict[ids.ServiceId, list] = {}
    for group in list(ledger.open_groups):
        if only is not None:
            if queue_of(group.entry, known).service not in only:
                continue
        if not group.waiting or not ledgers.is_ready(group, wall_ms):
            continue
        if is_unadvised(group, known, now_s):
            continue
        queue = queue_of(group.entry, known)
        key = rank(group, queue, lengths, now_s)
        ready.setdefault(queue.service, []).append((key, group))
    for rows in ready.values():
        rows.sort(key=lambda row: row[0])
    return {
        service: [
            group
            for _urgency, alike in itertools.groupby(rows, _urgency_of)
            for group in in_turn([group for _key, group in alike])
        ]
        for service, rows in ready.items()
    }


def _urgency_of(row: tuple[tuple, ledgers.Group]) -> tuple:
    """Give what of a rank comes before the time of arrival."""
    key, _group = row
    return key[:3]


def is_unadvised(
    group: ledgers.Group, known: dict[str, queues.Queue], now_s: float
) -> bool:
    """Say whether a step has to wait for advice.

    While it is asked for, nothing is known of who may run the step.
    """
    if not queue_of(group.entry, known).needs_advice:
        return False
    return group.tickets is None or now_s >= group.advised_until_s


def lacks_advice(
    group: ledgers.Group,
    present: collections.abc.Container[ids.VmId],
    now_s: float,
) -> bool:
    """Say whether advice on a step has to be asked for, or anew.

    :param present: workers that may be given tasks at some time
    """
    if now_s >= group.advised_until_s:
        return True
    tickets = group.tickets
    return bool(tickets) and not any(name in present for name in tickets)


def has_fitting_newcomer(
    group: ledgers.Group,
    workers: collections.abc.Iterable[workers_.Worker],
    service: ids.ServiceId,
) -> bool:
    """Say whether a worker came with a label that none of the good ones has.

    It is brought for this step, and goes again as it is idle long before the
    advice runs out that doesn't know of it.
    """
    label = group.step.label
    if not label or not group.tickets:
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


def queue_of(
    entry: ledgers.Entry, known: dict[str, queues.Queue]
) -> queues.Queue:
    """Give a job's queue as the newest configuration has it.

    A queue that was removed goes on as it was when the job came.
    """
    return known.get(entry.job.queue.name, entry.job.queue)
