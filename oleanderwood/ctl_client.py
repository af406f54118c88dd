"""Access to the administration API from the command line."""

import collections.abc
import dataclasses
import typing

import msgspec

from oleanderwood import admin_messages
from oleanderwood import codec
from oleanderwood import errors
from oleanderwood import http
from oleanderwood import http_client
from oleanderwood import ids
from oleanderwood import verdict as verdicts

Kind = admin_messages.ErrorKind
OK = 200


@dataclasses.dataclass(frozen=True)
class Admins:
    """Where the API is, and how to ask it.

    :ivar addresses: tried in turn
    """

    addresses: tuple[ids.Address, ...]
    token: str = ''
    timeout_s: float = 60.0


@dataclasses.dataclass(frozen=True)
class Call:
    """One call; ``writes`` ones go to another address on ``NOT_RUN`` only.

    ``body`` gives the body of each attempt.
    """

    method: str
    target: str
    reply: type
    body: collections.abc.Callable[[], bytes] = bytes
    writes: bool = False


class Refused(errors.OleanderError):
    """The API refused a call, or none could be reached."""

    def __init__(self, reply: admin_messages.ErrorReply) -> None:
        super().__init__(reply.message)
        self.reply = reply


async def ask(admins: Admins, call: Call) -> typing.Any:
    """Make a call.

    :raises Refused: with what the last address said that was asked
    """
    refused = None
    for address in admins.addresses:
        try:
            return await _ask_one(admins, address, call)
        except Refused as error:
            refused = error
            if not _may_go_on(call, error.reply):
                break
    raise refused


def _may_go_on(call: Call, reply: admin_messages.ErrorReply) -> bool:
    """Say whether another address may be asked after a refusal."""
    if reply.error is Kind.NOT_RUN:
        return True
    return reply.error is Kind.MAY_HAVE_RUN and not call.writes


async def _ask_one(
    admins: Admins, address: ids.Address, call: Call
) -> typing.Any:
    headers: http.Headers = [(b'content-type', b'application/json')]
    if admins.token:
        value = f'Bearer {admins.token}'.encode('latin-1')
        headers.append((b'authorization', value))
    try:
        response = await http_client.call(
            address,
            call.method,
            call.target,
            call.body(),
            admins.timeout_s,
            headers,
        )
    except errors.CallFailed as error:
        raise Refused(_failed(error)) from error
    if response.status == OK:
        return codec.from_json(response.body, call.reply)
    raise Refused(_read_refusal(response))


def _failed(error: errors.CallFailed) -> admin_messages.ErrorReply:
    kind = Kind.MAY_HAVE_RUN
    if error.verdict is verdicts.Verdict.NOT_RUN:
        kind = Kind.NOT_RUN
    return admin_messages.ErrorReply(kind, error.reason, error.verdict)


def _read_refusal(response: http.Response) -> admin_messages.ErrorReply:
    """Read a refusal; one that isn't the API's own proves nothing."""
    try:
        return codec.from_json(response.body, admin_messages.ErrorReply)
    except msgspec.MsgspecError:
        return admin_messages.ErrorReply(
            Kind.MAY_HAVE_RUN,
            f'status {response.status}, not of the administration API',
            verdicts.Verdict.MAY_HAVE_RUN,
        )
