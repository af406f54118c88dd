"""Machines that accept no more tasks, as other pools lack them."""

from oleanderwood.capacity import draining
from oleanderwood.capacity import rebalancing
from oleanderwood import event_log
from oleanderwood.leading import label_draining
from oleanderwood.leading import relocations
from oleanderwood.leading import state as states
from oleanderwood.leading import worker_loop


async def follow(
    leader: states.Leader,
    pools: list[rebalancing.PoolView],
    decision: rebalancing.Decision,
    now_s: float,
    keeps: bool = False,
) -> None:
    """Drain the machines that a planning pass has chosen, and no others.

    :param keeps: a machine that has been drained accepts no tasks until its
        move is sent, even if that takes several passes
    """
    has_room = relocations.room_finder(leader, now_s)
    for_labels = label_draining.decide(pools, decision, has_room, now_s)
    drained = _awaiting_move(pools, decision) if keeps else []
    await set_reclaimed(leader, decision.to_drain + for_labels + drained)


def _awaiting_move(
    pools: list[rebalancing.PoolView], decision: rebalancing.Decision
) -> list[draining.MachineToDrain]:
    """Return the machines that have been drained and are about to move."""
    moving = {move.machine for move in decision.moves}
    return [
        draining.MachineToDrain(member.machine, [])
        for pool in pools
        for member in pool.members
        if member.machine in moving
        and member.worker is not None
        and member.worker.is_reclaimed
    ]


async def set_reclaimed(
    leader: states.Leader, to_drain: list[draining.MachineToDrain]
) -> None:
    """Reserve machines for other pools, and release all others.

    A worker whose machine is to be drained gets no new tasks, and its runs
    listed in ``stops`` are stopped, those in ``relocates`` as there is room.
    """
    by_machine = {row.machine: row for row in to_drain}
    for worker in leader.workers.values():
        row = by_machine.get(worker.entry.machine)
        if (row is not None) != worker.is_reclaimed:
            event_log.emit(
                'worker',
                'emptied' if row is not None else 'not-emptied',
                worker=worker.entry.worker,
                runs=len(worker.runs),
                stops=len(row.stops) if row is not None else 0,
            )
        worker.is_reclaimed = row is not None
        if row is None:
            continue
        for task in row.stops:
            await worker_loop.stop_run(leader, task)
        for task in row.relocates:
            await relocations.relocate_for_label(leader, task)
