"""Handle callers' requests, from the request head to the response."""

import dataclasses
import re

import curio

from oleanderwood.admission import gate as gates
from oleanderwood import clock
from oleanderwood import codec
from oleanderwood import errors
from oleanderwood import event_log
from oleanderwood.frontend import admitting
from oleanderwood.frontend import denials as denials_
from oleanderwood.frontend import forwarding
from oleanderwood.frontend import freshness
from oleanderwood.frontend import intake as intakes
from oleanderwood.frontend import peer_client as peer_clients
from oleanderwood.frontend import targets
from oleanderwood import ids
from oleanderwood.jobs import model
from oleanderwood.jobs import queues
from oleanderwood.leading import memory_budget
from oleanderwood.leading import state as states
from oleanderwood import log_limit
from oleanderwood.platform import callers
from oleanderwood.pools import quotas
from oleanderwood import server_metrics
from oleanderwood.tenants import access
from oleanderwood.tenants import credentials
from oleanderwood import verdict as verdicts
from oleanderwood.web import http

MAX_BODY_BYTES = 256 << 10
"""Largest body of a job that is read; the job's text has 4,000 bytes at
most."""

RETRY_AFTER_S = 1
"""When callers may retry after a refusal: a leader that died is replaced
within 2 s, and a store that refused a call accepts it sooner."""

CANCEL_TIMEOUT_S = 2.6
"""Longest time of a cancel, in seconds; callers wait 3 s in all."""

OWN_CANCEL_TIMEOUT_S = 1.4
"""Time after which other servers are asked to cancel a job. A slow store takes
0.24 s a call, and a cancel makes two."""

JOB_ID = re.compile('[0-9a-f]{16}')

METHODS = frozenset(('GET', 'POST', 'DELETE', 'PUT', 'HEAD', 'PATCH'))
"""Methods with a metric label of their own; callers may send any word."""

ALLOWED_METHODS = ('GET', 'POST', 'DELETE')

ALLOW_HEADER = (b'allow', ', '.join(ALLOWED_METHODS).encode())

JSON = (b'content-type', b'application/json')

CHALLENGE = (b'www-authenticate', b'Token realm="jobs"')


@dataclasses.dataclass(frozen=True)
class Call:
    """A complete request of a caller.

    :ivar credential: the key's digest, or why there is no usable key
    """

    method: str
    host: str
    path: str
    credential: ids.KeyDigest | credentials.Denial
    body: bytes


@dataclasses.dataclass
class Frontend:
    """State and connections from which requests are answered."""

    server: states.Server
    intake: intakes.Intake
    client: peer_clients.PeerClient
    denials: log_limit.LineLimit = dataclasses.field(
        default_factory=log_limit.LineLimit
    )
    refusals: log_limit.LineLimit = dataclasses.field(
        default_factory=log_limit.LineLimit
    )


def make_handler(frontend: Frontend) -> http.Handler:
    """Return the handler of callers' requests."""

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
        if frontend.server.configuration is None:
            return _refusal(503, 'no configuration yet')
        if request.method not in ALLOWED_METHODS:
            return http.Response(405, [ALLOW_HEADER], b'not allowed\n')
        host, path = targets.split(
            request.target, request.header('host') or ''
        )
        credential = credentials.parse(
            http.find_all(request.headers, 'authorization')
        )
        call = Call(request.method, host, path, credential, body)
        # The key is checked only now, as the body may have come slowly.
        if _needs_recent_configuration(frontend.server, call):
            return await _forward(frontend, call)
        return await _serve(frontend, call)

    return handle


def _needs_recent_configuration(server: states.Server, call: Call) -> bool:
    """Return whether the configuration is too old to check the call's key."""
    return (
        server.configuration.tenants is not None
        and not isinstance(call.credential, credentials.Denial)
        and not freshness.is_recent(server)
    )


async def _forward(frontend: Frontend, call: Call) -> http.Response:
    """Have a call answered by a server with a recent configuration."""
    forwarded = forwarding.ForwardedCall(
        call.method,
        call.host,
        call.path,
        call.credential,
        call.body,
        frontend.server.configuration_revision,
    )
    began_s = clock.now_s()
    try:
        reply = await forwarding.forward_call(
            frontend.client, forwarded, _job_of(call)
        )
    except errors.CallFailed as error:
        server_metrics.PASSED_ON.labels('in-doubt').inc()
        if call.method == 'POST':
            intakes.note_unanswered(frontend.intake)
        _log(
            'passed-on',
            _job_of(call),
            began_s,
            method=call.method,
            verdict=error.verdict.value,
            why=error.reason,
        )
        return in_doubt('another server was asked and may still do it')
    outcome = 'refused' if reply.status is None else 'answered'
    server_metrics.PASSED_ON.labels(outcome).inc()
    _log('passed-on', _job_of(call), began_s, status=reply.status)
    if reply.status is None:
        return _refusal(503, 'keys cannot be checked now')
    return http.Response(reply.status, list(reply.headers), reply.body)


async def handle_forwarded_call(
    frontend: Frontend, body: bytes
) -> forwarding.ForwardedAnswer:
    """Authenticate and answer another server's call, without forwarding it.

    :raises msgspec.MsgspecError: the body is not a call
    """
    forwarded = codec.decode(body, forwarding.ForwardedCall)
    call = Call(
        forwarded.method,
        forwarded.host,
        forwarded.path,
        forwarded.key,
        forwarded.body,
    )
    server = frontend.server
    if (
        server.configuration is None
        or server.configuration_revision < forwarded.least_revision
        or forwarding.is_store_lost(server)
        or _needs_recent_configuration(server, call)
    ):
        return forwarding.ForwardedAnswer()
    try:
        response = await _serve(frontend, call)
    except errors.BadMessage as error:
        return forwarding.ForwardedAnswer(
            error.status, [], error.reason.encode() + b'\n'
        )
    return forwarding.ForwardedAnswer(
        response.status, response.headers, response.body
    )


def _job_of(call: Call) -> str:
    """Return the job that a call seems to name, for the log."""
    name = call.path.rpartition('/')[2]
    return name if JOB_ID.fullmatch(name) else ''


async def _serve(frontend: Frontend, call: Call) -> http.Response:
    """Answer a call by this server's configuration.

    The key is checked first: without a valid one, callers can't learn which
    queues or jobs exist.
    """
    configuration = frontend.server.configuration
    found = queues.find(configuration, call.host, call.path)
    tenant = access.authenticate(
        configuration.tenants,
        found is not None and found[0].public,
        call.credential,
        frontend.server.revoked,
    )
    if isinstance(tenant, access.Denied):
        denials_.record(frontend.denials, tenant, call.method, _job_of(call))
        return http.Response(401, [CHALLENGE], b'a valid key is needed\n')
    if found is None:
        return http.Response(404, [], b'no such queue\n')
    queue, rest = found
    if not rest and call.method == 'GET':
        return await _get_pending(frontend, queue)
    if not JOB_ID.fullmatch(rest):
        return http.Response(404, [], b'not the id of a job\n')
    job = ids.JobId(rest)
    if call.method == 'POST':
        return await _submit(frontend, queue, job, tenant, call.body)
    if call.method == 'GET':
        return await _get_state(frontend, job, tenant)
    return await _cancel(frontend, job, tenant, _owner_at(queue, tenant))


async def _read_body(request: http.Request) -> bytes:
    try:
        return await http.read_all(request.body, MAX_BODY_BYTES)
    except ValueError as error:
        raise errors.BadMessage(413, str(error)) from error


REFUSALS = {
    gates.Why.TOO_LATE: (429, 'the pool is full, and it would end too late'),
    gates.Why.OVER_SHARE: (
        429,
        "the pool is full, and the tenant's share of it is used up",
    ),
    gates.Why.NO_MEMORY: (429, 'no memory is left for a job of this size'),
    gates.Why.NO_LEADER: (503, 'no server leads at the moment'),
}
"""Status and reason of each refusal."""


def _not_admitted(refused: gates.Refused) -> http.Response:
    status, reason = REFUSALS[refused.why]
    return _refusal(status, f'not accepted: {reason}', refused.retry_after_s)


def _refusal(
    status: int, reason: str, retry_after_s: int = RETRY_AFTER_S
) -> http.Response:
    headers = [(b'retry-after', b'%d' % retry_after_s)]
    return http.Response(status, headers, reason.encode() + b'\n')


def in_doubt(reason: str) -> http.Response:
    """Return the response to a call that may or may not have been carried out.

    Its caller retries; the job remains one job.
    """
    return _refusal(504, f'perhaps done: {reason}')


def _log(event: str, job: str, began_s: float, **fields) -> None:
    after_ms = round((clock.now_s() - began_s) * 1000, 1)
    event_log.emit('caller', event, job=job, after_ms=after_ms, **fields)


async def _submit(
    frontend: Frontend,
    queue: queues.Queue,
    job: ids.JobId,
    tenant: ids.TenantId,
    body: bytes,
) -> http.Response:
    began_s = clock.now_s()
    work = callers.decode_job(body)
    tenant = _owner_at(queue, tenant)
    if await _can_never_run(frontend, job, work, tenant):
        _log('too-wide', job, began_s, tenant=tenant)
        return http.Response(
            429, [], b'a gang is wider than its tenant may run\n'
        )
    if model.open_bytes(work) > memory_budget.largest_bytes(frontend.server):
        _log('too-large', job, began_s, tenant=tenant)
        return http.Response(400, [], b'larger than any server can hold\n')
    outcome = await _admit(frontend, queue, work, job, tenant)
    if isinstance(outcome, gates.Refused):
        admitting.log(frontend.refusals, queue, job, tenant, outcome)
        return _not_admitted(outcome)
    if outcome is admitting.Outcome.STORED:
        result = forwarding.RelayResult(verdicts.Verdict.RAN, 'known')
    else:
        record = model.Job(job, queue, work, clock.wall_ms(), tenant=tenant)
        result = await _persist(frontend, record)
    _log(
        'handed-in',
        job,
        began_s,
        queue=queue.name,
        tenant=tenant,
        verdict=result.verdict.value,
        why=result.reason,
    )
    if result.verdict is verdicts.Verdict.RAN:
        return _state_response(model.State.QUEUED)
    if result.foreign:
        return http.Response(403, [], b'this id is taken\n')
    if result.cancelled:
        return http.Response(410, [], b'this job was cancelled\n')
    if result.verdict is verdicts.Verdict.NOT_RUN:
        return _refusal(503, f'not accepted: {result.reason}')
    return in_doubt(result.reason)


async def _admit(
    frontend: Frontend,
    queue: queues.Queue,
    work: model.Work,
    job: ids.JobId,
    tenant: ids.TenantId,
) -> admitting.Outcome | gates.Refused:
    """Return whether a job is refused for load or for want of memory."""
    server = frontend.server
    outcome: admitting.Outcome | gates.Refused = admitting.Outcome.ADMITTED
    if admitting.may_refuse(server, queue, work, tenant):
        outcome = await admitting.judge(
            server, frontend.intake, queue, job, tenant
        )
    if outcome is admitting.Outcome.ADMITTED and admitting.needs_reservation(
        server, work
    ):
        outcome = await admitting.judge_memory(
            server, frontend.client, frontend.intake, work, job, tenant
        )
    return outcome


def _owner_at(queue: queues.Queue, tenant: ids.TenantId) -> ids.TenantId:
    """Return to whom a caller's job in a queue belongs."""
    return access.NO_TENANT if queue.public else tenant


async def _can_never_run(
    frontend: Frontend,
    job: ids.JobId,
    work: model.Work,
    tenant: ids.TenantId,
) -> bool:
    """Return whether a new job has a gang that exceeds its tenant's limit.

    A job that was accepted before the limit was lowered stays accepted.
    """
    limit = frontend.server.limits.get(tenant)
    if limit is None:
        return False
    if not any(quotas.exceeds(step, limit) for step in work.steps):
        return False
    try:
        answer = await peer_clients.fetch_state(frontend.client, job)
    except errors.CallFailed as error:
        _log('state-unknown', job, clock.now_s(), why=error.reason)
        return False
    return answer.state is None


async def _persist(
    frontend: Frontend, job: model.Job
) -> forwarding.RelayResult:
    """Write a job to the store, through another server if necessary.

    Returns whether it is stored now, and if not, why.
    """
    verdict = verdicts.Verdict.NOT_RUN
    if not forwarding.is_store_lost(frontend.server):
        submission = await intakes.submit(frontend.intake, job)
        result = forwarding.result_of(submission)
        if forwarding.is_final(result):
            return result
        verdict = submission.verdict
    relayed = await forwarding.submit(frontend.client, job)
    if relayed.verdict is verdicts.Verdict.MAY_HAVE_RUN:
        intakes.note_unanswered(frontend.intake)
    is_refused = relayed.verdict is verdicts.Verdict.NOT_RUN
    if is_refused and not forwarding.is_final(relayed):
        return forwarding.RelayResult(verdict, relayed.reason)
    return relayed


def _state_response(state: model.State) -> http.Response:
    return http.Response(200, [JSON], callers.encode_state(state))


async def _get_state(
    frontend: Frontend, job: ids.JobId, tenant: ids.TenantId
) -> http.Response:
    began_s = clock.now_s()
    try:
        answer = await peer_clients.fetch_state(frontend.client, job)
    except errors.CallFailed as error:
        _log('state-unknown', job, began_s, why=error.reason)
        return _refusal(503, 'the state cannot be read now')
    # Callers can't learn whether another tenant's job exists.
    if answer.state is None or not access.may_access(answer.tenant, tenant):
        _log('no-such-job', job, began_s, tenant=tenant)
        return http.Response(410, [], b'no such job\n')
    return _state_response(answer.state)


async def _cancel(
    frontend: Frontend,
    job: ids.JobId,
    tenant: ids.TenantId,
    owner: ids.TenantId,
) -> http.Response:
    began_s = clock.now_s()
    try:
        exists = await _cancel_in_time(frontend, job, tenant, owner)
    except errors.CallFailed as error:
        _log('not-cancelled', job, began_s, why=error.reason)
        status = 503
        if error.verdict is not verdicts.Verdict.NOT_RUN:
            status = 504
        return _refusal(status, 'not known to be cancelled')
    _log('cancelled', job, began_s, there=exists)
    if not exists:
        return http.Response(410, [], b'no such job\n')
    # The caller doesn't wait for the notification.
    await curio.spawn(
        peer_clients.notify_cancel, frontend.client, job, daemon=True
    )
    return _state_response(model.State.CANCELLED)


async def _cancel_in_time(
    frontend: Frontend,
    job: ids.JobId,
    tenant: ids.TenantId,
    owner: ids.TenantId,
) -> bool:
    """Cancel a job while its caller waits, see :func:`_mark_cancelled`.

    :raises errors.CallFailed: it could not be done, or not in time
    """
    try:
        async with curio.timeout_after(CANCEL_TIMEOUT_S):
            return await _mark_cancelled(frontend, job, tenant, owner)
    except curio.TaskTimeout as error:
        raise errors.CallFailed(
            verdicts.Verdict.MAY_HAVE_RUN, 'no answer in time'
        ) from error


async def _mark_cancelled(
    frontend: Frontend,
    job: ids.JobId,
    tenant: ids.TenantId,
    owner: ids.TenantId,
) -> bool:
    """Cancel a job here or through another server, see ``intake.cancel``.

    :raises errors.CallFailed: neither this server nor another could do it
    """
    verdict = verdicts.Verdict.NOT_RUN
    if not forwarding.is_store_lost(frontend.server):
        try:
            async with curio.timeout_after(OWN_CANCEL_TIMEOUT_S):
                return await intakes.cancel(
                    frontend.intake, job, tenant, owner
                )
        except curio.TaskTimeout:
            verdict = verdicts.Verdict.MAY_HAVE_RUN
        except errors.CallFailed as error:
            _log('store-failed', job, clock.now_s(), why=error.reason)
            verdict = error.verdict
    relayed = await forwarding.cancel(frontend.client, job, tenant, owner)
    if relayed.verdict is verdicts.Verdict.RAN:
        return relayed.there
    if relayed.verdict is not verdicts.Verdict.NOT_RUN:
        verdict = relayed.verdict
    raise errors.CallFailed(verdict, relayed.reason)


async def _get_pending(
    frontend: Frontend, queue: queues.Queue
) -> http.Response:
    try:
        count = await peer_clients.count_pending(frontend.client, queue.name)
    except errors.CallFailed as error:
        event_log.emit(
            'caller', 'pending-unknown', queue=queue.name, why=error.reason
        )
        return _refusal(503, 'the queue cannot be counted now')
    return http.Response(200, [JSON], callers.encode_pending(count))
