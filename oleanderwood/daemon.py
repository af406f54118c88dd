"""What a daemon tells of itself, and the signals that it gets."""

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
    """What a daemon tells of itself.

    :ivar dump: gives its state as plain data for JSON
    :ivar ready: gives '' if ready, else the reason why not
    :ivar registry: its metrics
    """

    dump: Dump
    ready: Ready
    registry: prometheus_client.CollectorRegistry


def probe_handler(probes: Probes) -> http.Handler:
    """Make the handler of the probe addresses."""

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
    """Make a response of a struct or of plain data."""
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
    arrivals = await signal_socket(signal.SIGTERM, signal.SIGINT)
    number = (await arrivals.recv(1))[0]
    LOG.info('Stopping on signal %s.', signal.Signals(number).name)


async def signal_socket(*numbers: int) -> curio.io.Socket:
    """Take signals from now on; each arrives as one byte, its number.

    curio has no signals of its own; a socket wakes its kernel. For the
    main thread alone.
    """
    receiver, sender = socket.socketpair()
    sender.setblocking(False)

    def pass_on(number: int, frame: typing.Any) -> None:
        try:
            sender.send(bytes((number,)))
        except OSError as error:
            # Raised here, it would cut whatever the process does now.
            LOG.warning('Signal %s was dropped: %s.', number, error)

    await curio.spawn(_wake_on_signals, daemon=True)
    for number in numbers:
        signal.signal(number, pass_on)
    return curio.io.Socket(receiver)


_WAKE_READER, _WAKE_WRITER = socket.socketpair()
_WAKE_READER.setblocking(False)
_WAKE_WRITER.setblocking(False)


async def _wake_on_signals() -> None:
    """Wake curio's kernel at any signal, until cancelled.

    A handler in Python runs between two steps of the interpreter. Without
    this, a signal that comes just before the kernel waits for events would
    be handled only after the next event.
    """
    signal.set_wakeup_fd(_WAKE_WRITER.fileno(), warn_on_full_buffer=False)
    # A descriptor of its own: curio lets one task wait for each.
    async with curio.io.Socket(_WAKE_READER.dup()) as reader:
        while await reader.recv(64):
            pass
