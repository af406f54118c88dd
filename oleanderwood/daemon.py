"""Health, metrics and dump endpoints of a daemon, and its signal handling."""

import collections.abc
import dataclasses
import logging
import signal
import socket
import typing

import curio
import prometheus_client

from oleanderwood import codec
from oleanderwood.web import http

LOG = logging.getLogger('daemon')

Dump = collections.abc.Callable[[], dict[str, typing.Any]]
Ready = collections.abc.Callable[[], str]


@dataclasses.dataclass(frozen=True)
class Probes:
    """Sources of the data that a daemon's probe endpoints return.

    :ivar dump: returns the daemon's state as plain data for JSON
    :ivar ready: returns '' if ready, else the reason why not
    :ivar registry: the daemon's metrics
    """

    dump: Dump
    ready: Ready
    registry: prometheus_client.CollectorRegistry


def probe_handler(probes: Probes) -> http.Handler:
    """Return a request handler for the probe endpoints."""

    async def handle(request: http.Request) -> http.Response:
        path = request.target.partition('?')[0]
        if path == '/healthz':
            return http.Response(200, [], b'ok\n')
        if path == '/readyz':
            return _readiness(probes.ready())
        if path == '/metrics':
            return _metrics(probes.registry)
        if path == '/dump':
            return json_response(200, probes.dump())
        return http.Response(404, [], b'not found\n')

    return handle


def json_response(status: int, value: typing.Any) -> http.Response:
    """Return a JSON response for a struct or plain data."""
    headers = [(b'content-type', b'application/json')]
    return http.Response(status, headers, codec.to_json(value) + b'\n')


def _readiness(reason: str) -> http.Response:
    if reason:
        return http.Response(503, [], reason.encode() + b'\n')
    return http.Response(200, [], b'ready\n')


def _metrics(registry: prometheus_client.CollectorRegistry) -> http.Response:
    headers = [(b'content-type', b'text/plain; version=0.0.4')]
    body = prometheus_client.generate_latest(registry)
    return http.Response(200, headers, body)


async def until_stopped() -> None:
    """Wait for SIGTERM or SIGINT."""
    signals = await signal_socket(signal.SIGTERM, signal.SIGINT)
    number = (await signals.recv(1))[0]
    LOG.info('Stopping on signal %s.', signal.Signals(number).name)


async def signal_socket(*numbers: int) -> curio.io.Socket:
    """Handle signals; return a socket that receives each signal's number.

    Each signal arrives as one byte. curio doesn't handle signals itself; a
    socket wakes its kernel (its event loop). Call this in the main thread.
    """
    receiver, sender = socket.socketpair()
    sender.setblocking(False)

    def forward(number: int, frame: typing.Any) -> None:
        try:
            sender.send(bytes((number,)))
        except OSError as error:
            # Raising here would interrupt whatever code is running.
            LOG.warning('Signal %s was dropped: %s.', number, error)

    await curio.spawn(_wake_on_signals, daemon=True)
    for number in numbers:
        signal.signal(number, forward)
    return curio.io.Socket(receiver)


_WAKE_READER, _WAKE_WRITER = socket.socketpair()
_WAKE_READER.setblocking(False)
_WAKE_WRITER.setblocking(False)


async def _wake_on_signals() -> None:
    """Wake curio's kernel on any signal, until cancelled.

    Python runs signal handlers between two bytecode instructions. Without
    this, a signal that arrives just before the kernel waits for events would
    be handled only after the next event.
    """
    signal.set_wakeup_fd(_WAKE_WRITER.fileno(), warn_on_full_buffer=False)
    # Use a separate descriptor: in curio, only one task may wait for each
    # descriptor.
    async with curio.io.Socket(_WAKE_READER.dup()) as reader:
        while await reader.recv(64):
            pass
