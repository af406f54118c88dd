"""Callers' requests, from the head to the answer."""

import dataclasses
import re

import curio

from oleanderwood import clock
from oleanderwood import errors
from oleanderwood import event_log
from oleanderwood.frontend import asking as askings
from oleanderwood.frontend import forwarding
from oleanderwood.frontend import intake as intakes
from oleanderwood.frontend import targets
from oleanderwood import ids
from oleanderwood.jobs import model
from oleanderwood.jobs import queues
from oleanderwood.leading import state as states
from oleanderwood.platform import callers
from oleanderwood import server_metrics
from oleanderwood import verdict as verdicts
from oleanderwood.web import http

MAX_BODY_BYTES = 256 << 10
"""Largest job that is read; its text has 4,000 bytes at most."""

RETRY_AFTER_S = 1
"""When a caller may come back after a refusal: a leader that died is
followed within 2 s, and a store that refused a call takes it sooner."""

JOB_ID = re.compile('[0-9a-f]{16}')

METHODS = frozenset(('GET', 'POST', 'DELETE', 'PUT', 'HEAD', 'PATCH'))
"""Methods that metrics tell apart; callers may send any word."""

ALLOWED = ('GET', 'POST', 'DELETE')

ALLOW = (b'allow', ', '.join(ALLOWED).encode())

JSON = (b'content-type', b'application/json')


@dataclasses.dataclass
class Frontend:
    """What requests are answered from."""

    server: states.Server
    intake: intakes.Intake
    asking: askings.Asking


def make_handler(frontend: Frontend) -> http.Handler:
    """Make the handler of callers' requests."""

    async def handle(request: http.Request) -> http.Response:
        began_s = clock.now_s()
        response = await answer(request)
        kind = request.method if request.method in METHODS else 'other'
        server_metrics.CALLER_SECONDS.labels(
            kind, str(response.status)
        ).observe(clock.now_s() - began_s)
        return response

    async def answer(request: http.Request) -> http.Response:
        body = await _read_body(request)
        configuration = frontend.server.configuration
        if configuration is None:
            return _refusal(503, 'no configuration yet')
        if request.method not in ALLOWED:
            return http.Response(405, [ALLOW], b'not allowed\n')
        host, path = targets.split(
            request.target, request.header('host') or ''
        )
        found = queues.find(configuration, host, path)
        if found is None:
            return http.Response(404, [], b'no such queue\n')
        queue, rest = found
        if not rest and request.method == 'GET':
            return await _pending(frontend, queue)
        if not JOB_ID.fullmatch(rest):
            return http.Response(404, [], b'not the id of a job\n')
        job = ids.JobId(rest)
        if request.method == 'POST':
            return await _hand_in(frontend, queue, job, body)
        if request.method == 'GET':
            return await _state(frontend, job)
        return await _cancel(frontend, job)

    return handle


async def _read_body(request: http.Request) -> bytes:
    try:
        return await http.read_all(request.body, MAX_BODY_BYTES)
    except ValueError as error:
        raise errors.BadMessage(413, str(error)) from error


def _refusal(status: int, reason: str) -> http.Response:
    headers = [(b'retry-after', b'%d' % RETRY_AFTER_S)]
    return http.Response(status, headers, reason.encode() + b'\n')


def in_doubt(reason: str) -> http.Response:
    """Make the answer to a call of which it isn't known whether it was done.

    Its caller asks again; a job stays one job.
    """
    return _refusal(504, f'perhaps done: {reason}')


def _log(event: str, job: str, began_s: float, **fields) -> None:
    after_ms = round((clock.now_s() - began_s) * 1000, 1)
    event_log.emit('caller', event, job=job, after_ms=after_ms, **fields)


async def _hand_in(
    frontend: Frontend, queue: queues.Queue, job: ids.JobId, body: bytes
) -> http.Response:
    began_s = clock.now_s()
    work = callers.decode_job(body)
    record = model.Job(job, queue, work, clock.wall_ms())
    verdict, reason = await _write(frontend, record)
    _log(
        'handed-in',
        job,
        began_s,
        queue=queue.name,
        verdict=verdict.value,
        why=reason,
    )
    if verdict is verdicts.Verdict.RAN:
        return _told(model.State.QUEUED)
    if verdict is verdicts.Verdict.NOT_RUN:
        return _refusal(503, f'not accepted: {reason}')
    return in_doubt(reason)


async def _write(
    frontend: Frontend, job: model.Job
) -> tuple[verdicts.Verdict, str]:
    """Write a job to the store, through another server if need be.

    Gives whether it lies there now, and why not.
    """
    verdict = verdicts.Verdict.NOT_RUN
    if not forwarding.store_lost(frontend.server):
        handed = await intakes.hand_in(frontend.intake, job)
        if handed.verdict is verdicts.Verdict.RAN:
            return handed.verdict, handed.reason
        verdict = handed.verdict
    relayed = await forwarding.hand_in(frontend.asking, job)
    if relayed.verdict is not verdicts.Verdict.NOT_RUN:
        verdict = relayed.verdict
    return verdict, relayed.reason


def _told(state: model.State) -> http.Response:
    return http.Response(200, [JSON], callers.encode_state(state))


async def _state(frontend: Frontend, job: ids.JobId) -> http.Response:
    began_s = clock.now_s()
    try:
        state = await askings.state(frontend.asking, job)
    except errors.CallFailed as error:
        _log('state-unknown', job, began_s, why=error.reason)
        return _refusal(503, 'the state cannot be read now')
    if state is None:
        _log('no-such-job', job, began_s)
        return http.Response(410, [], b'no such job\n')
    return _told(state)


async def _cancel(frontend: Frontend, job: ids.JobId) -> http.Response:
    began_s = clock.now_s()
    try:
        there = await _mark_cancelled(frontend, job)
    except errors.CallFailed as error:
        _log('not-cancelled', job, began_s, why=error.reason)
        status = 503
        if error.verdict is not verdicts.Verdict.NOT_RUN:
            status = 504
        return _refusal(status, 'not known to be cancelled')
    _log('cancelled', job, began_s, there=there)
    if not there:
        return http.Response(410, [], b'no such job\n')
    # The caller doesn't wait for it.
    await curio.spawn(askings.tell_cancel, frontend.asking, job, daemon=True)
    return _told(model.State.CANCELLED)


async def _mark_cancelled(frontend: Frontend, job: ids.JobId) -> bool:
    """Mark a job as cancelled; False if there is no such job.

    :raises errors.CallFailed: neither this server nor another could do it
    """
    verdict = verdicts.Verdict.NOT_RUN
    if not forwarding.store_lost(frontend.server):
        try:
            return await intakes.cancel(frontend.server.store, job)
        except errors.CallFailed as error:
            _log('store-failed', job, clock.now_s(), why=error.reason)
            verdict = error.verdict
    relayed = await forwarding.cancel(frontend.asking, job)
    if relayed.verdict is verdicts.Verdict.RAN:
        return relayed.there
    if relayed.verdict is not verdicts.Verdict.NOT_RUN:
        verdict = relayed.verdict
    raise errors.CallFailed(verdict, relayed.reason)


async def _pending(frontend: Frontend, queue: queues.Queue) -> http.Response:
    try:
        count = await askings.pending(frontend.asking, queue.name)
    except errors.CallFailed as error:
        event_log.emit(
            'caller', 'pending-unknown', queue=queue.name, why=error.reason
        )
        return _refusal(503, 'the queue cannot be counted now')
    return http.Response(200, [JSON], callers.encode_pending(count))
