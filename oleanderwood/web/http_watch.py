"""The watch over a server's connections.

One task looks at all connections of a server a few times a second, which
costs less than a timer and a reader for each request. It ends those whose
peer makes no headway, and cancels the work for callers that are gone.
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

ROOM_PARTS = 64
"""Part of a full server's connections that are ended at once: some dozens, so
that many idle callers can't hold the others up, and most of them stay."""

SPARED_S = 2.0
"""How long a connection may wait for a request before another takes its
place; a caller that has just come needs some time to send one."""

_GONE = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL


async def run(server: typing.Any) -> None:
    """Watch the connections of a server until cancelled."""
    while True:
        await ticks.pause(TICK_S)
        await end_overdue(server, time.monotonic())
        await cancel_gone(server)


async def end_input(connection: http_accepted.Connection) -> None:
    """End an idle connection; a request that has arrived is answered."""
    with contextlib.suppress(OSError):
        await connection.sock.shutdown(socket.SHUT_RD)


async def make_room(server: typing.Any) -> None:
    """End those that have waited longest, if a new connection waits."""
    poll = select.poll()
    poll.register(server.sock.fileno(), select.POLLIN)
    if not poll.poll(0):
        return
    since_s = time.monotonic() - SPARED_S
    waiting = [c for c in server.connections if c.waits_since_s <= since_s]
    waiting.sort(key=lambda connection: connection.waits_since_s)
    for connection in waiting[: server.max_connections // ROOM_PARTS + 1]:
        connection.waits_since_s = math.inf
        await end_input(connection)


async def end_overdue(server: typing.Any, now_s: float) -> None:
    """End the connections whose peer made no headway in time.

    One whose peer takes no bytes is cut, also while no request is in hand:
    the end of its input would not end a refusal that is being written.
    """
    overdue = [
        connection
        for connection in server.connections
        if connection.read_limit_s <= now_s
        or connection.write_limit_s <= now_s
    ]
    for connection in overdue:
        stuck = connection.write_limit_s <= now_s
        connection.read_limit_s = math.inf
        connection.write_limit_s = math.inf
        if connection.busy or stuck:
            await _cancel(connection)
        else:
            await end_input(connection)


async def cancel_gone(server: typing.Any) -> None:
    """Cancel the work on requests whose caller closed the connection."""
    poll = select.poll()
    busy = {c.sock.fileno(): c for c in server.connections if c.busy}
    for descriptor in busy:
        poll.register(descriptor, select.POLLRDHUP)
    for descriptor, events in poll.poll(0) if busy else ():
        if events & _GONE:
            LOG.debug('Caller %s is gone.', busy[descriptor].peer)
            await _cancel(busy[descriptor])


async def _cancel(connection: http_accepted.Connection) -> None:
    # Once only: a second one would interrupt the clean-up of the first.
    if not connection.cancelled:
        connection.cancelled = True
        await connection.task.cancel(blocking=False)
