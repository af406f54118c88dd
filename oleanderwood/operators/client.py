"""The command line's calls to the administration API."""

import collections.abc
import dataclasses
import typing

import msgspec

from oleanderwood import codec
from oleanderwood import errors
from oleanderwood import ids
from oleanderwood.operators import messages
from oleanderwood import verdict as verdicts
from oleanderwood.web import http
from oleanderwood.web import http_client

Kind = messages.ErrorKind


@dataclasses.dataclass(frozen=True)
class Servers:
    """Where the API is, and how to ask it.

    :ivar addresses: inner addresses, tried in turn
    """

    addresses: tuple[ids.Address, ...]
    token: str = ''
    timeout_s: float = 10.0


@dataclasses.dataclass(frozen=True)
class Call:
    """One call; one that writes goes to another address on NOT_RUN only.

    :ivar body: gives the body of each attempt
    """

    method: str
    target: str
    reply: type
    body: collections.abc.Callable[[], bytes] = bytes
    writes: bool = False


class Refused(errors.OleanderError):
    """A call was refused, or no server could be reached."""

    def __init__(self, reply: messages.ErrorReply) -> None:
        super().__init__(reply.message)
        self.reply = reply


async def ask(servers: Servers, call: Call) -> typing.Any:
    """Make a call; a server that doesn't lead passes on to the leader.

    :raises Refused: with what the last server said that was asked
    """
    left = list(servers.addresses)
    asked: set[ids.Address] = set()
    refused = None
    while left:
        address = left.pop(0)
        if address in asked:
            continue
        asked.add(address)
        try:
            return await _ask_one(servers, address, call)
        except Refused as error:
            refused = error
            if not _may_go_on(call, error.reply):
                break
            if error.reply.leader:
                left.insert(0, error.reply.leader)
    raise refused


def _may_go_on(call: Call, reply: messages.ErrorReply) -> bool:
    """Say whether another server may be asked after a refusal."""
    if reply.error in (Kind.NOT_RUN, Kind.NOT_LEADING):
        return True
    return reply.error is Kind.MAY_HAVE_RUN and not call.writes


async def _ask_one(
    servers: Servers, address: ids.Address, call: Call
) -> typing.Any:
    headers: http.Headers = [(b'content-type', b'application/json')]
    if servers.token:
        value = f'Bearer {servers.token}'.encode('latin-1')
        headers.append((b'authorization', value))
    try:
        response = await http_client.call(
            address,
            call.method,
            call.target,
            call.body(),
            servers.timeout_s,
            headers,
        )
    except errors.CallFailed as error:
        raise Refused(_failed(error)) from error
    if response.status == 200:
        return codec.decode(response.body, call.reply)
    raise Refused(_read_refusal(response))


def _failed(error: errors.CallFailed) -> messages.ErrorReply:
    kind = Kind.MAY_HAVE_RUN
    if error.verdict is verdicts.Verdict.NOT_RUN:
        kind = Kind.NOT_RUN
    return messages.ErrorReply(kind, error.reason, error.verdict)


def _read_refusal(response: http.Response) -> messages.ErrorReply:
    """Read a refusal; one that isn't the API's own proves nothing."""
    try:
        return codec.decode(response.body, messages.ErrorReply)
    except msgspec.MsgspecError:
        return messages.ErrorReply(
            Kind.MAY_HAVE_RUN,
            f'status {response.status}, not of the administration API',
            verdicts.Verdict.MAY_HAVE_RUN,
        )
