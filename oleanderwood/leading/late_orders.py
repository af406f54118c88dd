"""Keeping late orders from the next lives of executors.

The leader notes executors that left an order unanswered, and tells two other
servers. All three ask them for as long as the order may be carried out,
whoever leads by then: a leader may be suspended, cut off, or dead.
"""

import curio
import msgspec

from oleanderwood import clock
from oleanderwood import errors
from oleanderwood import event_log
from oleanderwood import ids
from oleanderwood.leading import roles as roles_
from oleanderwood.leading import state as states
from oleanderwood.platform import executors
from oleanderwood.platform import transport
from oleanderwood.pools import late_orders
from oleanderwood.pools import lives
from oleanderwood.pools import reports
from oleanderwood.pools import workers as workers_
from oleanderwood.web import connections

PATH = '/late-orders'

ASK_TIMEOUT_S = 0.1
"""Longest wait for an executor's answer; others are asked for meanwhile."""

ASK_PAUSE_S = 0.03
"""Time between two questions: how long a next life goes without having seen a
fence, if none is lost."""

TOLD = 2
"""Other servers that ask as well."""

TELL_TIMEOUT_S = 0.3
"""Longest wait for one of them to take the news."""

ENDLESS_S = 1e9


async def note(leader: states.Leader, worker: workers_.Worker) -> None:
    """Note that an order to a worker was left unanswered.

    Only where lives share an id: elsewhere a next life refuses it by that.
    """
    if not lives.tells_birth(worker.entry.worker):
        return
    order = late_orders.LateOrder(
        lives.executor(worker.entry.worker),
        worker.entry.address,
        states.fence_of(leader, worker),
    )
    server = leader.server
    server.unanswered.untold[order.executor] = order
    await server.unanswered_untold.set()
    await take(server, [order])


async def take(
    server: states.Server, orders: list[late_orders.LateOrder]
) -> None:
    """Ask some executors from now on."""
    for order in orders:
        late_orders.take(server.unanswered, order, clock.now_s())
        event_log.emit(
            'late-order',
            'expected',
            executor=order.executor,
            address=order.address,
            fence=order.fence,
            for_s=order.for_s,
        )
    await server.unanswered_news.set()


async def take_told(server: states.Server, body: bytes) -> None:
    """Take in what another server tells.

    :raises msgspec.MsgspecError: it can't be read
    """
    orders = msgspec.json.decode(body, type=list[late_orders.LateOrder])
    await take(server, orders)


async def ask_always(server: states.Server) -> None:
    """Ask executors at which an order may be carried out late."""
    calls = executors.Executors(ASK_TIMEOUT_S)
    while True:
        orders = late_orders.due(server.unanswered, clock.now_s())
        if not orders:
            await server.unanswered_news.wait(ENDLESS_S)
            continue
        for order in orders:
            await curio.spawn(_ask, server, calls, order, daemon=True)
        await curio.sleep(ASK_PAUSE_S)


async def _ask(
    server: states.Server,
    calls: executors.Executors,
    order: late_orders.LateOrder,
) -> None:
    """Let an executor see a fence; what it answers is left to the leader."""
    entry = reports.Entry(
        ids.VmId(order.executor), ids.ServiceId(''), order.address
    )
    try:
        await executors.renew(calls, entry, reports.Renewal(order.fence))
    except executors.Replaced:
        late_orders.drop(server.unanswered, order.executor)
        event_log.emit('late-order', 'replaced', executor=order.executor)
    except (executors.Fenced, errors.CallFailed):
        # It has seen a higher fence, or is asked again at once.
        return


async def tell_always(server: states.Server) -> None:
    """Tell other servers whom to ask, the largest first."""
    kept = connections.Connections()
    while True:
        await server.unanswered_untold.wait(ENDLESS_S)
        orders = late_orders.take_untold(server.unanswered)
        if not orders:
            continue
        body = msgspec.json.encode(orders)
        others = roles_.peers(server.roles, server.process)
        others.sort(key=lambda row: (-row.cores, row.name))
        async with curio.TaskGroup(wait=all) as group:
            for other in others[:TOLD]:
                await group.spawn(_tell, kept, other.address, body)


async def _tell(
    kept: connections.Connections, address: ids.Address, body: bytes
) -> None:
    try:
        await transport.call(
            kept, address, 'POST', PATH, body, timeout_s=TELL_TIMEOUT_S
        )
    except errors.CallFailed as error:
        event_log.emit(
            'late-order', 'not-told', address=address, why=str(error)
        )
