"""HTTP calls to the platform over kept connections, each with a verdict."""

import collections.abc
import dataclasses
import typing

import curio

from oleanderwood import clock
from oleanderwood import codec
from oleanderwood import errors
from oleanderwood import ids
from oleanderwood import server_metrics
from oleanderwood import verdict as verdicts
from oleanderwood.web import connections
from oleanderwood.web import http
from oleanderwood.web import http_client

KEEP_S = 30.0
"""How long an idle connection is kept; each new one has a price."""

MAX_CONNECTIONS = 16
"""Connections to one address; executors accept 64 from all callers."""

MAX_ANSWER_BYTES = 8 << 20
"""Largest answer read; a page of the store holds about 1 MB."""

MAX_REASON = 200
"""Characters that are told of why an answer can't be used."""

T = typing.TypeVar('T')


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer."""

    status: int
    body: bytes


async def call(
    kept: connections.Connections,
    address: ids.Address,
    method: str,
    target: str,
    body: bytes = b'',
    headers: http.Headers | None = None,
    *,
    timeout_s: float,
    whole_s: float = 0.0,
    head_s: float = 0.0,
) -> Answer:
    """Make one call within ``timeout_s``.

    :param whole_s: longest time for an answer that keeps arriving, if that
        may be longer; each of its pieces then comes within ``timeout_s``
    :param head_s: longest time until such an answer begins, if that is less
    :raises errors.CallFailed: no whole answer; its verdict says whether
        the call may have run
    """
    began_s = clock.now_s()
    outcome = 'cut'
    try:
        answer = await _call(
            kept,
            address,
            method,
            target,
            body,
            headers,
            timeout_s,
            whole_s,
            head_s or timeout_s,
        )
        outcome = str(answer.status)
        return answer
    except errors.CallFailed as error:
        outcome = error.verdict.value
        raise
    finally:
        took_s = clock.now_s() - began_s
        server_metrics.CALLS.labels(outcome).observe(took_s)


async def _call(
    kept, address, method, target, body, headers, timeout_s, whole_s, head_s
) -> Answer:
    sent = list(headers or [])
    if http.find(sent, 'host') is None:
        sent.insert(0, (b'host', address.encode('ascii')))
    if body:
        sent.append((b'content-type', b'application/json'))
    connection = None
    try:
        async with curio.timeout_after(max(timeout_s, whole_s)):
            connection = await connections.take(
                kept, address, MAX_CONNECTIONS, timeout_s, KEEP_S
            )
            exchange = http_client.exchange(
                connection, method, target, sent, body
            )
            if whole_s:
                head = await _in_time(head_s, exchange)
                pieces = http.Body(
                    lambda: _in_time(timeout_s, head.body.read())
                )
            else:
                head = await exchange
                pieces = head.body
            whole = await http.read_all(pieces, MAX_ANSWER_BYTES)
    except (curio.TaskTimeout, _Stalled) as error:
        if connection is None:
            raise errors.CallFailed(
                verdicts.Verdict.NOT_RUN, f'connect to {address}: timeout'
            ) from error
        await connections.drop(kept, connection)
        raise errors.Unanswered(
            http_client.verdict(connection),
            f'{address}: no answer in {timeout_s} s',
        ) from error
    except BaseException:
        if connection is not None:
            await connections.drop(kept, connection)
        raise
    await connections.give_back(kept, connection)
    return Answer(head.status, whole)


class _Stalled(Exception):
    """A part of an answer didn't come within its time."""


async def _in_time(timeout_s: float, part: collections.abc.Awaitable[T]) -> T:
    """Wait for a part of an answer.

    :raises _Stalled: it takes longer than ``timeout_s``
    """
    try:
        async with curio.timeout_after(timeout_s):
            return await part
    except curio.TaskTimeout as error:
        raise _Stalled from error


def decoded(answer: Answer, kind: type[T]) -> T:
    """Decode an answer.

    :raises errors.CallFailed: it can't be read; another than the one meant
        may have given it
    """
    try:
        return codec.decode(answer.body, kind)
    except codec.MalformedValue as error:
        raise not_understood(error) from error


def not_understood(error: Exception) -> errors.CallFailed:
    """Make the error of an answer whose content can't be used."""
    reason = f'answer not understood: {error}'
    return errors.CallFailed(
        verdicts.Verdict.MAY_HAVE_RUN, reason[:MAX_REASON]
    )


def refused(answer: Answer, what: str) -> errors.CallFailed:
    """Make the error of an answer that the call's contract doesn't name.

    The platform promises for 429 and 503 that nothing was done.
    """
    verdict = verdicts.Verdict.MAY_HAVE_RUN
    if answer.status in (429, 503) or 400 <= answer.status < 500:
        verdict = verdicts.Verdict.NOT_RUN
    return errors.CallFailed(verdict, f'{what}: status {answer.status}')
