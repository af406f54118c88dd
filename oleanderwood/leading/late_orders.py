"""Protection of restarted executors against late orders.

The leader records executors that left an order unanswered, and notifies two
other servers. All three probe these executors with a higher fence for as long
as the order may be carried out, whoever leads by then: a leader may be
suspended, cut off, or dead.

A leader that is killed before its order has timed out has recorded nothing.
The next leader therefore suspects such an order at each executor that it does
not reach, or that restarts, until it could no longer arrive.
"""

import curio
import msgspec

from oleanderwood import clock
from oleanderwood import codec
from oleanderwood import errors
from oleanderwood import event_log
from oleanderwood import ids
from oleanderwood.leading import previous_leaders
from oleanderwood.leading import roles as roles_
from oleanderwood.leading import state as states
from oleanderwood.platform import executors
from oleanderwood.platform import transport
from oleanderwood.pools import incarnations
from oleanderwood.pools import late_orders
from oleanderwood.pools import reports
from oleanderwood.pools import workers as workers_
from oleanderwood.web import connections

PATH = '/late-orders'

PROBE_TIMEOUT_S = 0.1
"""Timeout of a probe; other executors are probed meanwhile."""

PROBE_INTERVAL_S = 0.03
"""Interval between two probes of an executor. If no probe is lost, this is how
long its next incarnation runs without having seen a fence."""

PEER_COUNT = 2
"""Number of other servers that probe as well."""

NOTIFY_TIMEOUT_S = 0.3
"""Timeout of notifying one of these servers."""

IDLE_WAIT_S = 1e9
"""Timeout of waits that only an event ends."""


async def record_unanswered(
    leader: states.Leader, worker: workers_.Worker
) -> None:
    """Record that an order to a worker got no answer.

    Needed only where incarnations share an id: elsewhere the next incarnation
    refuses the order, which names the id of the earlier one.
    """
    if incarnations.has_birth_time(worker.entry.worker):
        await _record(leader, _order(leader, worker))


async def suspect_unreached(
    leader: states.Leader, worker: workers_.Worker
) -> None:
    """Suspect a late order at a worker that does not answer this leader.

    The next incarnation of its executor may be out of this leader's reach
    while other servers reach it.
    """
    unanswered = leader.server.late_order_executors
    executor = incarnations.executor_of(worker.entry.worker)
    expected = late_orders.is_expected(unanswered, executor, clock.now_s())
    if not expected and late_orders.has_room(unanswered):
        await suspect(leader, worker)


async def suspect(leader: states.Leader, worker: workers_.Worker) -> None:
    """Suspect an order of an earlier leader that may be carried out late.

    Nothing has to be done while one is known to be unanswered: the servers
    that know of it go on probing whoever answers.
    """
    if not incarnations.has_birth_time(worker.entry.worker):
        return
    order = _order(leader, worker)
    unanswered = leader.server.late_order_executors
    last_sent_s = previous_leaders.last_order_s(leader)
    left_s = last_sent_s + late_orders.MAX_DELAY_S - clock.now_s()
    if left_s <= 0.0 or late_orders.is_unanswered(unanswered, order.executor):
        return
    for_s = min(order.for_s, left_s)
    await _record(
        leader, msgspec.structs.replace(order, for_s=for_s, suspected=True)
    )


def _order(
    leader: states.Leader, worker: workers_.Worker
) -> late_orders.LateOrder:
    return late_orders.LateOrder(
        incarnations.executor_of(worker.entry.worker),
        worker.entry.address,
        states.fence_of(leader, worker),
    )


async def _record(leader: states.Leader, order: late_orders.LateOrder) -> None:
    """Start probing an executor, and notify other servers of it."""
    server = leader.server
    server.late_order_executors.unreported[order.executor] = order
    await server.late_orders_to_relay.set()
    await start_probing(server, [order])


async def start_probing(
    server: states.Server, orders: list[late_orders.LateOrder]
) -> None:
    """Start probing the executors of some orders."""
    for order in orders:
        late_orders.add(server.late_order_executors, order, clock.now_s())
        event_log.emit(
            'late-order',
            'expected',
            executor=order.executor,
            address=order.address,
            fence=order.fence,
            for_s=round(order.for_s, 3),
            suspected=order.suspected,
        )
    await server.late_orders_changed.set()


async def receive(server: states.Server, body: bytes) -> None:
    """Start probing the executors that another server reports.

    :raises msgspec.MsgspecError: the body cannot be decoded
    """
    orders = codec.decode(body, list[late_orders.LateOrder])
    await start_probing(server, orders)


async def probe_always(server: states.Server) -> None:
    """Probe executors at which an order may be carried out late."""
    calls = executors.Executors(PROBE_TIMEOUT_S)
    while True:
        orders = late_orders.executors_to_call(
            server.late_order_executors, clock.now_s()
        )
        if not orders:
            await server.late_orders_changed.wait(IDLE_WAIT_S)
            continue
        for order in orders:
            await curio.spawn(_probe, server, calls, order, daemon=True)
        await curio.sleep(PROBE_INTERVAL_S)


async def _probe(
    server: states.Server,
    calls: executors.Executors,
    order: late_orders.LateOrder,
) -> None:
    """Send an executor a fence; only the leader processes its reports.

    A suspected order is refused by the incarnation that answers. The leader
    suspects it again at the next incarnation.
    """
    entry = reports.Entry(
        ids.VmId(order.executor), ids.ServiceId(''), order.address
    )
    try:
        await executors.renew(calls, entry, reports.Renewal(order.fence))
    except executors.Replaced:
        late_orders.remove(server.late_order_executors, order.executor)
        event_log.emit('late-order', 'replaced', executor=order.executor)
        return
    except errors.CallFailed:
        # It is probed again at once.
        return
    except executors.Fenced:
        # It has seen a higher fence.
        pass
    _end_suspicion(server, order)


def _end_suspicion(
    server: states.Server, order: late_orders.LateOrder
) -> None:
    """Stop probing an executor, unless an order is known to be unanswered."""
    unanswered = server.late_order_executors
    if order.suspected and unanswered.orders.get(order.executor) is order:
        late_orders.remove(unanswered, order.executor)
        event_log.emit('late-order', 'fenced', executor=order.executor)


async def notify_always(server: states.Server) -> None:
    """Notify other servers of executors to probe, largest servers first."""
    peer_connections = connections.Connections()
    while True:
        await server.late_orders_to_relay.wait(IDLE_WAIT_S)
        orders = late_orders.take_unreported(server.late_order_executors)
        if not orders:
            continue
        body = msgspec.json.encode(orders)
        others = roles_.peers(server.roles, server.process)
        others.sort(key=lambda row: (-row.cores, row.name))
        async with curio.TaskGroup(wait=all) as group:
            for other in others[:PEER_COUNT]:
                await group.spawn(
                    _notify, peer_connections, other.address, body
                )


async def _notify(
    peer_connections: connections.Connections,
    address: ids.Address,
    body: bytes,
) -> None:
    try:
        await transport.call(
            peer_connections,
            address,
            'POST',
            PATH,
            body,
            timeout_s=NOTIFY_TIMEOUT_S,
        )
    except errors.CallFailed as error:
        event_log.emit(
            'late-order', 'not-told', address=address, why=str(error)
        )
