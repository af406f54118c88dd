"""Registers workers, so that a leader can call them and send them orders."""

import curio

from oleanderwood import clock
from oleanderwood import event_log
from oleanderwood.leading import late_orders
from oleanderwood.leading import state as states
from oleanderwood.pools import fences
from oleanderwood.pools import incarnations
from oleanderwood.pools import reports
from oleanderwood.pools import workers as workers_


async def register(
    leader: states.Leader,
    entry: reports.Entry,
    listed: bool,
    provisional: bool = False,
) -> workers_.Worker:
    """Register a worker and start the renewal of its lease.

    :param provisional: the worker's own entry has not been read yet
    """
    now_s = clock.now_s()
    worker = workers_.Worker(
        entry,
        listed=listed,
        idle_since_s=now_s,
        first_contact_s=now_s,
        provisional=provisional,
    )
    name = entry.worker
    leader.workers[name] = worker
    restarted = fences.is_known(leader.fences, incarnations.executor_of(name))
    # This incarnation then refuses orders that were sent to an
    # earlier one and not answered.
    states.raise_fence(leader, worker)
    known = leader.incarnations.setdefault(incarnations.executor_of(name), {})
    known[name] = None
    leader.ends_stored[name] = states.Signal()
    leader.orders[name] = curio.Queue()
    leader.unwritten_worker_lists.add(entry.service)
    event_log.emit(
        'worker',
        'met',
        worker=name,
        service=entry.service,
        address=entry.address,
        machine=entry.machine,
        draining=entry.draining,
        listed=listed,
        lives=len(known),
        term=leader.term,
        fence_number=states.fence_number(leader, worker),
    )
    await leader.new_workers.put(worker)
    if restarted:
        await late_orders.suspect(leader, worker)
    await leader.worker_lists_changed.set()
    return worker
