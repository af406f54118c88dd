"""Access to callers: requests with known answers, and a record of each.

A caller asks, checks that the answer is whole and its own, and repeats as
the verdict allows. All that it saw is kept in :class:`Attempt` records.
"""

import collections.abc
import dataclasses
import hashlib
import itertools
import random
import time

import curio
import h11
import uuid6

from oleanderwood import errors
from oleanderwood import http
from oleanderwood import http_client
from oleanderwood import ids
from oleanderwood import verdict as verdicts
from standins import upstream

NO_STATUS = 0
CALLER_TIMEOUT_S = 12.0
"""How long a caller waits; longer than any deadline that it sends."""

MAX_ANSWER_BYTES = 8 << 20
MAX_ATTEMPTS = 4
PIECE_BYTES = 16384
RETRY_PAUSE_S = 0.05


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request that callers make.

    :ivar weight: how often it is drawn, against the others
    """

    path: str
    idempotent: bool
    team: str = ''
    weight: float = 1.0
    priority: str = 'normal'
    body_bytes: int = 0
    answer_bytes: int = 128
    work_ms: int = 2
    timeout_ms: int = 5000


@dataclasses.dataclass
class Attempt:
    """One attempt as its caller saw it; times are monotonic.

    :ivar key: of the request, the same in all its attempts
    :ivar nonce: of the attempt; the answer is bound to it
    :ivar status: ``NO_STATUS`` if no answer came
    :ivar verdict: from the answer's header, or as the caller's own side
        of the connection proves
    :ivar whole: whether the answer came to its announced end
    :ivar own: whether it is the answer to an attempt of this request
    """

    key: str
    nonce: str
    path: str
    idempotent: bool
    body_sha256: str
    start_s: float
    end_s: float = 0.0
    status: int = NO_STATUS
    verdict: str = ''
    whole: bool = False
    own: bool = False
    reason: str = ''
    upstream_vm: str = ''
    refusal: str = ''


@dataclasses.dataclass
class Caller:
    """One caller, with one connection that it keeps while it can.

    :ivar repeat_doubtful: whether it sends a request that isn't idempotent
        again, under its key, after ``MAY_HAVE_RUN``
    """

    address: ids.Address
    kinds: tuple[Kind, ...]
    rng: random.Random
    attempts: list[Attempt]
    think_s: float = 0.05
    repeat_doubtful: bool = False
    connection: http_client.Connection | None = None
    stopping: bool = False


async def run(caller: Caller) -> None:
    """Make one request after the other until told to stop."""
    weights = [kind.weight for kind in caller.kinds]
    try:
        while not caller.stopping:
            kind = caller.rng.choices(caller.kinds, weights)[0]
            await request(caller, kind)
            await curio.sleep(caller.rng.uniform(0, 2 * caller.think_s))
    finally:
        await _drop(caller)


async def request(caller: Caller, kind: Kind) -> Attempt:
    """Make one request; repeat it while its verdicts allow it."""
    key = str(uuid6.uuid7())
    nonces: list[str] = []
    for number in itertools.count():
        nonces.append(f'{key}/{number}')
        attempt = await _attempt(caller, kind, key, nonces)
        if number + 1 == MAX_ATTEMPTS or not _repeats(caller, attempt):
            return attempt
        await curio.sleep(RETRY_PAUSE_S * (number + 1))


def _repeats(caller: Caller, attempt: Attempt) -> bool:
    if attempt.verdict == verdicts.Verdict.NOT_RUN.value:
        return True
    if attempt.verdict != verdicts.Verdict.MAY_HAVE_RUN.value:
        return False
    return attempt.idempotent or caller.repeat_doubtful


async def _attempt(
    caller: Caller, kind: Kind, key: str, nonces: list[str]
) -> Attempt:
    body = request_body(nonces[-1], kind.body_bytes)
    attempt = Attempt(
        key=key,
        nonce=nonces[-1],
        path=kind.path,
        idempotent=kind.idempotent,
        body_sha256=hashlib.sha256(body).hexdigest(),
        start_s=time.monotonic(),
    )
    caller.attempts.append(attempt)
    try:
        async with curio.timeout_after(CALLER_TIMEOUT_S):
            await _exchange(caller, kind, attempt, nonces, body)
    except errors.CallFailed as error:
        attempt.reason = error.reason
        attempt.verdict = error.verdict.value
    except curio.TaskTimeout:
        attempt.reason = 'the caller gave up'
        attempt.verdict = verdicts.Verdict.MAY_HAVE_RUN.value
    except ValueError as error:
        attempt.reason = str(error)
    finally:
        attempt.end_s = time.monotonic()
        if not attempt.whole:
            await _drop(caller)
    return attempt


async def _exchange(
    caller: Caller,
    kind: Kind,
    attempt: Attempt,
    nonces: list[str],
    body: bytes,
) -> None:
    fresh = caller.connection is None
    if fresh:
        caller.connection = await http_client.connect(
            caller.address, CALLER_TIMEOUT_S
        )
    response = await http_client.exchange(
        caller.connection,
        'POST',
        f'{kind.path}?work_ms={kind.work_ms}&answer_bytes={kind.answer_bytes}',
        _headers(caller, kind, attempt, len(body)),
        _pieces(body),
    )
    attempt.status = response.status
    attempt.verdict = response.header(verdicts.HEADER) or ''
    attempt.upstream_vm = response.header('upstream-vm') or ''
    answer = await http.read_all(response.body, MAX_ANSWER_BYTES)
    attempt.whole = True
    if response.status == 200:
        attempt.own = is_own(nonces, kind, answer)
    else:
        attempt.refusal = answer[:200].decode('latin-1').strip()
    if not _reusable(caller.connection):
        await _drop(caller)


def _reusable(connection: http_client.Connection) -> bool:
    """Say whether the server keeps the connection for another request."""
    if not http_client.usable(connection):
        return False
    return connection.protocol.their_state is not h11.MUST_CLOSE


def _headers(
    caller: Caller, kind: Kind, attempt: Attempt, size_bytes: int
) -> http.Headers:
    headers = {
        'host': caller.address,
        'caller-nonce': attempt.nonce,
        'idempotency-key': attempt.key,
        'oleander-priority': kind.priority,
        'oleander-timeout-ms': str(kind.timeout_ms),
        'content-length': str(size_bytes),
    }
    if kind.team:
        headers['oleander-team'] = kind.team
    return [(k.encode(), v.encode()) for k, v in headers.items()]


def request_body(nonce: str, size_bytes: int) -> bytes:
    """Make a request's body, bound to its nonce."""
    return upstream.answer_body(f'request/{nonce}', size_bytes)


def is_own(nonces: list[str], kind: Kind, answer: bytes) -> bool:
    """Say whether an answer is that to one of a request's attempts."""
    return any(
        answer == upstream.answer_body(nonce, kind.answer_bytes)
        for nonce in nonces
    )


async def _pieces(body: bytes) -> collections.abc.AsyncIterator[bytes]:
    for start in range(0, len(body), PIECE_BYTES):
        yield body[start : start + PIECE_BYTES]


async def _drop(caller: Caller) -> None:
    if caller.connection is not None:
        await http.close(caller.connection.sock)
        caller.connection = None
