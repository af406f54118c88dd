"""Monitoring of a server's connections.

One task checks all connections of a server a few times a second, which costs
less than a timer and a reader for each request. It closes connections whose
peer makes no progress, and cancels requests whose caller has disconnected.
"""

import contextlib
import logging
import math
import select
import socket
import time
import typing

from oleanderwood.web import http_accepted
from oleanderwood.web import ticks

LOG = logging.getLogger('http-server')

TICK_S = 0.25
"""Interval in seconds between two checks of the connections."""

EVICTION_DIVISOR = 64
"""Divisor of a full server's connection limit: the number evicted at a time.

That is some dozens, so that many idle callers can't block others, while most
connections stay open.
"""

SPARED_S = 2.0
"""How long, in seconds, a connection may wait for a request before it may be
evicted; a caller that has just connected needs some time to send one."""

_CLOSED_EVENTS = (
    select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL
)


async def run(server: typing.Any) -> None:
    """Monitor the connections of a server until cancelled."""
    while True:
        await ticks.pause(TICK_S)
        await close_timed_out(server, time.monotonic())
        await cancel_disconnected(server)


async def end_input(connection: http_accepted.Connection) -> None:
    """Shut down the input of a connection, which closes it once it is idle.

    A request that has already arrived is still answered.
    """
    with contextlib.suppress(OSError):
        await connection.sock.shutdown(socket.SHUT_RD)


async def evict_idle(server: typing.Any) -> None:
    """Evict the longest idle connections if a new connection is pending.

    Only connections idle for at least ``SPARED_S`` are evicted, and at most
    about one in ``EVICTION_DIVISOR`` of the limit at a time.
    """
    poll = select.poll()
    poll.register(server.sock.fileno(), select.POLLIN)
    if not poll.poll(0):
        return
    since_s = time.monotonic() - SPARED_S
    waiting = [c for c in server.connections if c.waiting_since_s <= since_s]
    waiting.sort(key=lambda connection: connection.waiting_since_s)
    for connection in waiting[
        : server.max_connections // EVICTION_DIVISOR + 1
    ]:
        connection.waiting_since_s = math.inf
        await end_input(connection)


async def close_timed_out(server: typing.Any, now_s: float) -> None:
    """Close the connections whose peer missed a deadline.

    A connection whose peer accepts no data is cancelled even without a
    request: ending its input would not stop a refusal that is being written.
    """
    overdue = [
        connection
        for connection in server.connections
        if connection.read_deadline_s <= now_s
        or connection.write_deadline_s <= now_s
    ]
    for connection in overdue:
        write_timed_out = connection.write_deadline_s <= now_s
        connection.read_deadline_s = math.inf
        connection.write_deadline_s = math.inf
        if connection.busy or write_timed_out:
            await _cancel(connection)
        else:
            await end_input(connection)


async def cancel_disconnected(server: typing.Any) -> None:
    """Cancel requests whose caller closed the connection."""
    poll = select.poll()
    busy = {c.sock.fileno(): c for c in server.connections if c.busy}
    for descriptor in busy:
        poll.register(descriptor, select.POLLRDHUP)
    for descriptor, events in poll.poll(0) if busy else ():
        if events & _CLOSED_EVENTS:
            LOG.debug(
                'Caller %s closed its connection.', busy[descriptor].peer
            )
            await _cancel(busy[descriptor])


async def _cancel(connection: http_accepted.Connection) -> None:
    # Cancel only once: a second cancellation would interrupt the clean-up.
    if not connection.cancelled:
        connection.cancelled = True
        await connection.task.cancel(blocking=False)
