"""Kept connections, bounded for each address."""

import collections
import dataclasses
import time

from oleanderwood import errors
from oleanderwood import ids
from oleanderwood import verdict as verdicts
from oleanderwood.web import http
from oleanderwood.web import http_client

IDLE_S = 4.0
"""How long an idle connection is kept.

Below the usual keep-alive limits of servers (5 s and more), so that one is
seldom reused while its peer closes it.
"""


@dataclasses.dataclass
class Idle:
    """A connection that waits for its next request since a moment."""

    connection: http_client.Connection
    since_s: float


@dataclasses.dataclass
class Connections:
    """The connections of one process to all addresses.

    :ivar idle: for each address, the latest used last
    :ivar opened: for each address, those open or being opened
    """

    idle: dict[ids.Address, collections.deque[Idle]] = dataclasses.field(
        default_factory=dict
    )
    opened: collections.Counter[ids.Address] = dataclasses.field(
        default_factory=collections.Counter
    )


async def take(
    state: Connections,
    address: ids.Address,
    limit: int,
    timeout_s: float,
    idle_s: float = IDLE_S,
) -> http_client.Connection:
    """Give an idle connection, or open one.

    :param limit: connections that may be open to this address
    :param idle_s: longest idle time of a connection that is reused
    :raises errors.CallFailed: ``NOT_RUN``
    """
    reused = await _reuse(state, address, time.monotonic() - idle_s)
    if reused is not None:
        return reused
    if state.opened[address] >= limit:
        raise errors.CallFailed(
            verdicts.Verdict.NOT_RUN, f'{address}: {limit} connections open'
        )
    state.opened[address] += 1
    try:
        return await http_client.connect(address, timeout_s)
    except BaseException:
        _forget(state, address)
        raise


async def _reuse(
    state: Connections, address: ids.Address, since_s: float
) -> http_client.Connection | None:
    waiting = state.idle.get(address)
    while waiting:
        idle = waiting.pop()
        connection = idle.connection
        if idle.since_s >= since_s and http_client.silent(connection):
            connection.written = False
            return connection
        await drop(state, connection)
    return None


async def give_back(
    state: Connections, connection: http_client.Connection
) -> None:
    """Keep a connection for the next request, if it may carry one."""
    if not http_client.usable(connection):
        await drop(state, connection)
        return
    waiting = state.idle.setdefault(connection.address, collections.deque())
    waiting.append(Idle(connection, time.monotonic()))


async def drop(state: Connections, connection: http_client.Connection) -> None:
    """Close a connection, and with it whatever still arrives on it."""
    _forget(state, connection.address)
    await http.close(connection.sock)


def _forget(state: Connections, address: ids.Address) -> None:
    state.opened[address] -= 1
    if state.opened[address] <= 0:
        del state.opened[address]
