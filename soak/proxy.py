"""A TCP proxy on loopback that spoils the links it carries."""

import dataclasses
import enum
import socket
import struct
import typing

import curio

from oleanderwood import ids
from oleanderwood.web import http

PIECE_BYTES = 65536
DELAY_S = 0.25
"""Delay of each piece in one direction while a link is delayed."""


class Mode(enum.Enum):
    """What happens to the bytes of a link."""

    PASS = 'pass'
    DELAY = 'delay'
    RESET = 'reset'
    """Both ends see a reset."""

    ONE_WAY = 'one-way'
    """Requests arrive, answers don't."""

    SILENT = 'silent'
    """Nothing arrives any more, for good on links that are open now."""


@dataclasses.dataclass(eq=False)
class Link:
    """One connection and what it is passed on to.

    :ivar dead: it went silent for good
    """

    caller: typing.Any
    target: typing.Any
    task: curio.Task | None = None
    dead: bool = False


@dataclasses.dataclass(eq=False)
class Proxy:
    """One address that passes its connections on to another."""

    listen: ids.Address
    target: ids.Address
    mode: Mode = Mode.PASS
    links: set[Link] = dataclasses.field(default_factory=set)


def _make_socket() -> typing.Any:
    return curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)


async def run(proxy: Proxy) -> None:
    """Accept and pass on until cancelled.

    :raises OSError: the address can't be bound
    """
    sock = _make_socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, True)
    sock.bind(http.split_address(proxy.listen))
    sock.listen(64)
    try:
        while True:
            caller, _peer = await sock.accept()
            link = Link(caller, _make_socket())
            link.task = await curio.spawn(_carry, proxy, link, daemon=True)
    finally:
        await http.close(sock)


async def spoil(proxy: Proxy, mode: Mode, for_s: float) -> None:
    """Let a mode hold for a while."""
    proxy.mode = mode
    for link in list(proxy.links):
        if mode is Mode.SILENT:
            link.dead = True
        elif mode is Mode.RESET:
            _let_close_reset(link)
            await link.task.cancel(blocking=False)
    await curio.sleep(for_s)
    proxy.mode = Mode.PASS


async def _carry(proxy: Proxy, link: Link) -> None:
    proxy.links.add(link)
    try:
        await link.target.connect(http.split_address(proxy.target))
        for sock in (link.caller, link.target):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, True)
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(_pump, proxy, link, link.caller, link.target)
            await group.spawn(_pump, proxy, link, link.target, link.caller)
    except OSError:
        _let_close_reset(link)
    finally:
        proxy.links.discard(link)
        await http.close(link.caller)
        await http.close(link.target)


async def _pump(
    proxy: Proxy, link: Link, source: typing.Any, sink: typing.Any
) -> None:
    """Pass one direction on until it ends."""
    while True:
        try:
            piece = await source.recv(PIECE_BYTES)
            if not piece:
                return
            if _swallowed(proxy, link, source is link.target):
                continue
            if proxy.mode is Mode.DELAY:
                await curio.sleep(DELAY_S)
            if proxy.mode is Mode.RESET:
                _let_close_reset(link)
                return
            await sink.sendall(piece)
        except OSError:
            _let_close_reset(link)
            return


def _swallowed(proxy: Proxy, link: Link, answer: bool) -> bool:
    if link.dead or proxy.mode is Mode.SILENT:
        return True
    return answer and proxy.mode is Mode.ONE_WAY


def _let_close_reset(link: Link) -> None:
    """Let both ends see a reset once they are closed."""
    at_once = struct.pack('ii', 1, 0)
    for sock in (link.caller, link.target):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, at_once)
