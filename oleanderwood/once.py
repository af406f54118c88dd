"""Access to the request path of requests that carry an idempotency key."""

import collections.abc
import dataclasses
import hashlib

from oleanderwood import dispatch
from oleanderwood import errors
from oleanderwood import exchange as exchanges
from oleanderwood import http
from oleanderwood import idempotency
from oleanderwood import ids
from oleanderwood import request_headers
from oleanderwood import verdict as verdicts

MAX_KEY_CHARACTERS = 200

RETRY_AFTER_S = 1.0
"""When to come back after the owner of a key gave no grant."""

UNREACHABLE = 'unreachable'
"""Outcome of a claim that its owner didn't answer."""

NOT_RUN = verdicts.Verdict.NOT_RUN
MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN
RAN = verdicts.Verdict.RAN

Reply = idempotency.ClaimReply | None


@dataclasses.dataclass(frozen=True)
class Guard:
    """Access to the owners of keys, as a record of functions.

    ``ask(key, claim, fingerprint)`` gives the owner's reply, None if there
    was none. ``settle(settlement)`` tells it how a request ended that it
    let run.
    """

    ask: collections.abc.Callable[
        [ids.RequestKey, str, str], collections.abc.Awaitable[Reply]
    ]
    settle: collections.abc.Callable[
        [idempotency.Settlement], collections.abc.Awaitable[None]
    ]


@dataclasses.dataclass
class _Seen:
    """The answer that went to the caller; ``body`` is kept while short.

    :ivar whole: whether the upstream's answer came to its end
    :ivar cut: whether the upstream's answer was cut
    """

    verdict: verdicts.Verdict | None = None
    status: int = 0
    body: bytes | None = b''
    whole: bool = False
    cut: bool = False


def key(
    exchange: exchanges.Exchange, team: ids.TeamId
) -> ids.RequestKey | None:
    """Give the caller's key with its scope, None if it sent none.

    :raises errors.BadMessage: there are several, or it is empty or long
    """
    found = [
        value
        for name, value in exchange.request.headers
        if name == request_headers.IDEMPOTENCY_KEY
    ]
    if not found:
        return None
    text = found[0].decode('latin-1')
    if len(found) > 1 or not 0 < len(text) <= MAX_KEY_CHARACTERS:
        raise errors.BadMessage(
            400, f'idempotency-key: one of 1 to {MAX_KEY_CHARACTERS}'
        )
    return idempotency.scope(team, ids.ServiceId(exchange.service.name), text)


async def ask(
    guard: Guard, exchange: exchanges.Exchange, team: ids.TeamId
) -> Reply:
    """Ask the owner of the request's key whether it may run."""
    mark = _fingerprint(exchange, team)
    return await guard.ask(exchange.key, exchange.request_id, mark)


def _fingerprint(exchange: exchanges.Exchange, team: ids.TeamId) -> str:
    """Tell requests apart; by the body as well if it is short."""
    parts = (
        exchange.request.method,
        exchange.target,
        team,
        exchange.service.name,
        exchange.length_bytes,
    )
    body = exchange.kept_body or b''
    data = repr(parts).encode() + body
    return hashlib.blake2b(data, digest_size=12).hexdigest()


def granted(reply: Reply) -> bool:
    """Say whether the request may run."""
    return reply is not None and reply.answer is idempotency.Answer.RUN


def outcome(reply: Reply) -> str:
    """Name a reply, for metrics."""
    return UNREACHABLE if reply is None else reply.answer.value


async def run(
    guard: Guard,
    exchange: exchanges.Exchange,
    serve: collections.abc.Callable[[], collections.abc.Awaitable[None]],
) -> None:
    """Serve a request that may run, and tell the owner how it ended."""
    seen = _Seen()
    request = exchange.request
    respond = request.respond

    async def observed(response: http.Response) -> None:
        _note(seen, response)
        await respond(response)

    request.respond = observed
    try:
        await serve()
    finally:
        request.respond = respond
        await guard.settle(_settlement(exchange, seen))


def _note(seen: _Seen, response: http.Response) -> None:
    found = response.header(verdicts.HEADER)
    seen.verdict = verdicts.Verdict(found) if found else RAN
    seen.status = response.status
    if isinstance(response.body, bytes):
        _keep(seen, response.body)
        seen.whole = True
    else:
        response.body = http.Body(_observed(seen, response.body))


def _observed(
    seen: _Seen, body: http.Body
) -> collections.abc.Callable[[], collections.abc.Awaitable[bytes]]:
    async def read() -> bytes:
        try:
            piece = await body.read()
        except (errors.CallFailed, OSError):
            seen.cut = True
            raise
        _keep(seen, piece)
        seen.whole = not piece
        return piece

    return read


def _keep(seen: _Seen, piece: bytes) -> None:
    if seen.body is None:
        return
    size_bytes = len(seen.body) + len(piece)
    fits = size_bytes <= idempotency.MAX_ANSWER_BYTES
    seen.body = seen.body + piece if fits else None


def _settlement(
    exchange: exchanges.Exchange, seen: _Seen
) -> idempotency.Settlement:
    verdict = seen.verdict
    if verdict is None:
        verdict = MAY_HAVE_RUN if exchange.sent else NOT_RUN
    elif seen.cut:
        verdict = MAY_HAVE_RUN
    body = seen.body if verdict is RAN and seen.whole else None
    return idempotency.Settlement(
        exchange.key, exchange.request_id, verdict, seen.status, body
    )


def replay(reply: Reply) -> http.Response | None:
    """Give the answer to a request that ran before, None for others.

    One that wasn't kept must not pass for an empty answer: the status is
    told in a header then.
    """
    if reply is None or reply.answer is not idempotency.Answer.ENDED:
        return None
    headers = [(request_headers.REPLAYED, b'1')]
    verdict = (request_headers.VERDICT, RAN.value.encode('ascii'))
    if reply.body is not None:
        if reply.status >= 400:
            headers.append(verdict)
        return http.Response(reply.status, headers, reply.body)
    headers.append(verdict)
    headers.append((request_headers.REPLAYED_STATUS, b'%d' % reply.status))
    return http.Response(409, headers, b'it ran; its answer was not kept\n')


_REFUSALS = {
    idempotency.Answer.UNKNOWN: (
        409,
        'a request with this key runs or may have run',
        MAY_HAVE_RUN,
    ),
    idempotency.Answer.OTHER_REQUEST: (
        422,
        'the key was used for another request',
        NOT_RUN,
    ),
    idempotency.Answer.CLOCK_AHEAD: (
        400,
        'the time stamp of the key lies in the future',
        NOT_RUN,
    ),
    idempotency.Answer.FULL: (503, 'no more keys can be kept', NOT_RUN),
}
_NO_OWNER = (503, 'the owner of the key can not be reached', NOT_RUN)


def refusal(ticket: int, reply: Reply) -> dispatch.Refuse:
    """Give the refusal of a request that may not run."""
    answer = None if reply is None else reply.answer
    status, reason, verdict = _REFUSALS.get(answer, _NO_OWNER)
    retry_after_s = RETRY_AFTER_S if status == 503 else 0.0
    return dispatch.Refuse(
        ticket=ticket,
        status=status,
        reason=reason,
        verdict=verdict,
        retry_after_s=retry_after_s,
    )
