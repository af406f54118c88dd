"""Relocation of long-running tasks whose machine is needed for other things.

Unlike a starved run, such a task has to leave even if it isn't better off.
"""

from oleanderwood import clock
from oleanderwood import event_log
from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.leading import label_draining
from oleanderwood.leading import state as states
from oleanderwood.leading import worker_loop
from oleanderwood.maintenance import relocation as relocation_
from oleanderwood.pools import advised
from oleanderwood.pools import placing
from oleanderwood.pools import workers as workers_


async def relocate(leader: states.Leader, task: ledgers.Task) -> None:
    """Stop a long-running task once another worker has free capacity for it.

    Stopped earlier, it was started again on the same machine: in a wave of 116
    machines one task was stopped every five seconds, and its machine's
    maintenance was late.
    """
    now_s = clock.now_s()
    relocation = _record(leader, task, now_s)
    if relocation is None or _awaits_advice(leader, task, now_s):
        return
    if not _has_room(leader, task, now_s):
        if not relocation.lacks_capacity:
            event_log.emit('wave', 'no-capacity', task=task.name)
        relocation.lacks_capacity = True
        return
    del leader.fleet.relocations[task.group]
    event_log.emit('wave', 'relocates', task=task.name)
    await worker_loop.stop_run(leader, task)


async def relocate_for_label(
    leader: states.Leader, task: ledgers.Task
) -> None:
    """Stop a long-running task on a machine that another pool lacks.

    Its pool gets no other machine for it: that one would be missed elsewhere.
    """
    now_s = clock.now_s()
    if _record(leader, task, now_s) is None:
        return
    if _awaits_advice(leader, task, now_s):
        return
    if _has_room(leader, task, now_s):
        del leader.fleet.relocations[task.group]
        event_log.emit('fleet', 'relocates', task=task.name)
        await worker_loop.stop_run(leader, task)


def room_finder(leader: states.Leader, now_s: float) -> label_draining.HasRoom:
    """Return a function that tells whether a task may find another worker.

    It may if advice must be asked first, as ``relocate_for_label`` does.
    """

    def has_room(task: ledgers.Task) -> bool:
        if task.run is None or task.run.worker not in leader.workers:
            return False
        if _awaits_advice(leader, task, now_s):
            return True
        return _has_room(leader, task, now_s)

    return has_room


def _awaits_advice(
    leader: states.Leader, task: ledgers.Task, now_s: float
) -> bool:
    """Return whether it's unknown which workers would do.

    Expired tickets don't tell, as they name workers of an earlier time.
    """
    known = states.known_queues(leader)
    return advised.awaits_advice(task.group, known, now_s)


def _has_room(leader: states.Leader, task: ledgers.Task, now_s: float) -> bool:
    others = _other_workers(leader, leader.workers[task.run.worker])
    return placing.has_free_capacity(task.group, others, now_s)


def _record(
    leader: states.Leader, task: ledgers.Task, now_s: float
) -> relocation_.Relocation | None:
    """Record that a task has to leave its worker; None if that has gone."""
    current = leader.workers.get(task.run.worker)
    if current is None:
        return None
    until_s = now_s + relocation_.KEPT_S
    relocation = leader.fleet.relocations.get(task.group)
    if relocation is None or relocation.until_s < now_s:
        relocation = relocation_.Relocation(current.entry.service, until_s)
        leader.fleet.relocations[task.group] = relocation
    relocation.until_s = until_s
    return relocation


def _other_workers(
    leader: states.Leader, current: workers_.Worker
) -> list[workers_.Worker]:
    return [
        worker
        for worker in leader.workers.values()
        if worker.entry.service == current.entry.service
        and worker.is_in_stored_list
        and worker is not current
        and not worker.maintenance_due
    ]


def waiting_groups(leader: states.Leader, now_s: float) -> list[ledgers.Group]:
    """Return the steps whose tasks wait to leave; drop those that don't."""
    relocations = leader.fleet.relocations
    for group, relocation in list(relocations.items()):
        if relocation.until_s < now_s or ledgers.is_final(group.entry):
            del relocations[group]
    return list(relocations)


def pools_without_capacity(
    leader: states.Leader, now_s: float
) -> set[ids.ServiceId]:
    """Return the pools in which no worker can take a task that has to leave.

    While advice is requested again, a pool is judged by the last one: if it
    didn't lack a machine for that time, the one that came for the task would
    leave.
    """
    return {
        leader.fleet.relocations[group].service
        for group in waiting_groups(leader, now_s)
        if leader.fleet.relocations[group].lacks_capacity
    }
