"""Access to the request path: one caller's request to its final answer."""

import collections.abc
import dataclasses
import functools
import logging
import math
import random
import time

import prometheus_client

from oleanderwood import attempt
from oleanderwood import configuration
from oleanderwood import connections
from oleanderwood import dispatch
from oleanderwood import entry_metrics
from oleanderwood import errors
from oleanderwood import exchange as exchanges
from oleanderwood import fleet
from oleanderwood import http
from oleanderwood import ids
from oleanderwood import invariants
from oleanderwood import once
from oleanderwood import permissions
from oleanderwood import request_headers
from oleanderwood import routes
from oleanderwood import routing
from oleanderwood import tickets
from oleanderwood import verdict as verdicts

LOG = logging.getLogger('entry')

KEPT_BODY_BYTES = 16384
"""Largest body that is read before admission, and kept for retries."""

DUMPED_REQUESTS = 200
"""How many requests in flight the state dump shows."""

STATUS_TOO_LARGE = 413
STATUS_BAD_ANSWER = 502
STATUS_NO_ANSWER = 504

NOT_RUN = verdicts.Verdict.NOT_RUN
MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN
RAN = verdicts.Verdict.RAN

REFUSAL_HEADERS = [(request_headers.VERDICT, NOT_RUN.value.encode('ascii'))]
"""Sent with the refusal of a request that isn't even HTTP."""


@dataclasses.dataclass
class Proxy:
    """The request path of one entry.

    :ivar prefix: start of the request ids, new at every start
    :ivar rows: the VMs that serve, by which a decision's VM is found
    :ivar content: the configuration that was taken over
    :ivar entries: those that share the upstreams, and where
    :ivar upstreams: what the dispatcher was given, by service
    :ivar refresh: brings ``rows`` and the dispatcher up to date
    :ivar guard: sees to it that requests with a key run at most once
    :ivar active: requests between arrival and final answer
    """

    prefix: str
    path: exchanges.Path
    tickets: tickets.Tickets
    metrics: entry_metrics.Metrics
    table: routes.Routes = routes.Routes()
    rows: dict[ids.VmId, fleet.VmRow] = dataclasses.field(default_factory=dict)
    content: configuration.Configuration | None = None
    entries: dict[ids.EntryId, ids.DataCentre] = dataclasses.field(
        default_factory=dict
    )
    upstreams: dict[str, tuple[dispatch.UpstreamRow, ...]] = dataclasses.field(
        default_factory=dict
    )
    refresh: collections.abc.Callable[[], None] = lambda: None
    guard: once.Guard | None = None
    active: dict[int, exchanges.Exchange] = dataclasses.field(
        default_factory=dict
    )


def create(
    entry: ids.EntryId,
    incarnation: str,
    data_centre: ids.DataCentre,
    allowed: permissions.Permissions,
    registry: prometheus_client.CollectorRegistry,
    rng: random.Random,
) -> Proxy:
    """Make the request path of an entry that knows of no service yet."""
    path = exchanges.Path(
        connections.Connections(), allowed, invariants.create(registry)
    )
    state = dispatch.make_state(entry, data_centre)
    proxy = Proxy(
        prefix=f'{entry}-{incarnation}-',
        path=path,
        tickets=tickets.Tickets(state, rng),
        metrics=entry_metrics.create(registry),
    )
    proxy.metrics.in_flight.set_function(lambda: len(proxy.active))
    return proxy


def dump(proxy: Proxy) -> dict[str, object]:
    """Give the state as plain data, for the state dump."""
    now_s = time.monotonic()
    requests = [
        {
            'id': exchange.request_id,
            'service': exchange.service.name,
            'age_s': round(now_s - exchange.arrived_s, 3),
            'attempts': [verdict.value for verdict in exchange.attempts],
            'answering': exchange.answering,
        }
        for exchange in proxy.active.values()
    ]
    return {
        'services': [service.name for service in proxy.table.services],
        'upstreams': {vm: row.address for vm, row in proxy.rows.items()},
        'entries': len(proxy.entries),
        'waiting': len(proxy.tickets.waiters),
        'requests': requests[:DUMPED_REQUESTS],
        'requests_in_flight': len(requests),
        'connections': dict(proxy.path.connections.opened),
        'invariants': invariants.dump(proxy.path.invariants),
    }


def make_handler(proxy: Proxy) -> http.Handler:
    """Make the handler of the callers' address."""
    return functools.partial(_handle, proxy)


async def _handle(proxy: Proxy, request: http.Request) -> None:
    arrived_s = time.monotonic()
    ticket = tickets.new_ticket(proxy.tickets)
    try:
        exchange, ask = await _admit(proxy, request, ticket, arrived_s)
    except errors.BadMessage as error:
        service = routes.find(proxy.table, request.target)
        label = service.name if service else entry_metrics.UNROUTED
        await _refuse(proxy, request, label, error.status, error.reason)
        return
    proxy.active[ticket] = exchange
    try:
        if exchange.key is None:
            await _dispatch(proxy, exchange, ask)
        else:
            await _dispatch_once(proxy, exchange, ask)
    finally:
        del proxy.active[ticket]
        await tickets.abandon(proxy.tickets, ticket)


async def _admit(
    proxy: Proxy, request: http.Request, ticket: int, arrived_s: float
) -> tuple[exchanges.Exchange, dispatch.Ask]:
    """Check a request, and read its body if it is small.

    :raises errors.BadMessage: it is refused
    """
    headers = request.headers
    request_headers.check_framing(headers)
    target = routes.origin_form(request.target)
    service = routes.find(proxy.table, target)
    if service is None:
        raise errors.BadMessage(404, 'no service has this path')
    wishes = request_headers.wishes(headers)
    length_bytes = request_headers.content_length(headers)
    if length_bytes is not None and length_bytes > service.max_body_bytes:
        raise errors.BadMessage(STATUS_TOO_LARGE, 'the body is too large')
    exchange = exchanges.Exchange(
        request_id=f'{proxy.prefix}{ticket}',
        request=request,
        target=target,
        service=service,
        arrived_s=arrived_s,
        deadline_s=arrived_s + wishes.timeout_s,
        kept_body=await _small_body(request, length_bytes),
        length_bytes=length_bytes,
    )
    if proxy.guard is not None and not service.idempotent:
        exchange.key = once.key(exchange, wishes.team)
    return exchange, _ask(ticket, exchange, wishes)


async def _small_body(
    request: http.Request, length_bytes: int | None
) -> bytes | None:
    """Read a small body that comes unasked; None for any other."""
    if length_bytes == 0:
        return b''
    if length_bytes is None or request.awaits_continue:
        return None
    if length_bytes > KEPT_BODY_BYTES:
        return None
    return await http.read_all(request.body, KEPT_BODY_BYTES)


def _ask(
    ticket: int,
    exchange: exchanges.Exchange,
    wishes: request_headers.Wishes,
) -> dispatch.Ask:
    service = exchange.service
    until_s = exchange.arrived_s + service.timeout_s
    return dispatch.Ask(
        ticket=ticket,
        service=ids.ServiceId(service.name),
        team=wishes.team,
        priority=wishes.priority,
        deadline_s=min(until_s, exchange.deadline_s),
        idempotent=service.idempotent,
    )


async def _dispatch_once(
    proxy: Proxy, exchange: exchanges.Exchange, ask: dispatch.Ask
) -> None:
    """Dispatch a request if the owner of its key lets it run."""
    reply = await once.ask(proxy.guard, exchange, ask.team)
    outcome = once.outcome(reply)
    proxy.metrics.claims.labels(exchange.service.name, outcome).inc()
    if once.granted(reply):
        serve = functools.partial(_dispatch, proxy, exchange, ask)
        await once.run(proxy.guard, exchange, serve)
        return
    ended = once.replay(reply)
    if ended is None:
        refuse = once.refusal(ask.ticket, reply)
        await _answer_refusal(proxy, exchange, refuse, 0)
        return
    _count_answer(proxy, exchange, RAN)
    await exchange.request.respond(ended)


async def _dispatch(
    proxy: Proxy, exchange: exchanges.Exchange, ask: dispatch.Ask
) -> None:
    """Attempt the request as often as is decided, then answer."""
    status = 0
    decision = await tickets.arrive(proxy.tickets, ask)
    while isinstance(decision, dispatch.Start):
        outcome = await _attempt(proxy, exchange, decision)
        if outcome is None:
            return
        status = outcome.status
        decision = await tickets.finish(proxy.tickets, ask.ticket, outcome)
    await _answer_refusal(proxy, exchange, decision, status)


async def _attempt(
    proxy: Proxy, exchange: exchanges.Exchange, start: dispatch.Start
) -> dispatch.Outcome | None:
    """Make one attempt; give its outcome unless the caller is served."""
    began_s = time.monotonic()
    status = 0
    verdict = NOT_RUN
    failure: errors.CallFailed | None = None
    try:
        status = await _run(proxy, exchange, start.upstream)
        verdict = RAN if exchange.answering else NOT_RUN
    except errors.CallFailed as error:
        failure = error
        verdict = error.verdict
        if isinstance(error, permissions.Gone):
            proxy.refresh()
        LOG.info('Attempt of %s failed: %s', exchange.request_id, error)
    except exchanges.CallerFault as fault:
        await _answer_caller_fault(proxy, exchange, fault)
        return None
    except OSError:
        proxy.metrics.abandoned.labels(exchange.service.name).inc()
        raise
    exchange.attempts.append(verdict)
    proxy.metrics.attempts.labels(exchange.service.name, verdict.value).inc()
    outcome = dispatch.Outcome(
        verdict=verdict,
        status=status or _failure_status(failure),
        latency_s=time.monotonic() - began_s,
        repeatable=not (exchange.body_started or exchange.answering),
        upstream_failed=_is_upstreams(failure),
    )
    if not exchange.answering:
        return outcome
    await tickets.end(proxy.tickets, start.ticket, outcome)
    if failure is not None:
        proxy.metrics.abandoned.labels(exchange.service.name).inc()
        raise failure
    _count_answer(proxy, exchange, RAN)
    return None


def _failure_status(failure: errors.CallFailed | None) -> int:
    if isinstance(failure, exchanges.TimedOut):
        return STATUS_NO_ANSWER
    return STATUS_BAD_ANSWER


def _is_upstreams(failure: errors.CallFailed | None) -> bool:
    """Say whether a failure is the upstream's.

    Callers that are in a hurry must not get upstreams ejected.
    """
    if isinstance(failure, exchanges.TimedOut):
        return not failure.hurried
    return not isinstance(failure, permissions.Gone)


async def _run(
    proxy: Proxy, exchange: exchanges.Exchange, vm: ids.VmId
) -> int:
    row = proxy.rows.get(vm)
    if row is None:
        raise permissions.Gone(NOT_RUN, f'{vm}: no longer serves')
    limit = routing.connection_limit(
        exchange.service.connections, max(1, len(proxy.entries))
    )
    return await attempt.run(proxy.path, exchange, row, limit)


def _count_answer(
    proxy: Proxy, exchange: exchanges.Exchange, verdict: verdicts.Verdict
) -> None:
    name = exchange.service.name
    proxy.metrics.requests.labels(name, verdict.value).inc()
    latency_s = time.monotonic() - exchange.arrived_s
    proxy.metrics.latency.labels(name).observe(latency_s)


async def _answer_caller_fault(
    proxy: Proxy, exchange: exchanges.Exchange, fault: exchanges.CallerFault
) -> None:
    name = exchange.service.name
    if fault.message is None or exchange.answering:
        proxy.metrics.abandoned.labels(name).inc()
        raise ConnectionResetError('the request body was cut')
    response = _refusal(
        fault.message.status, fault.message.reason, fault.verdict
    )
    proxy.metrics.refused.labels(name, fault.message.reason).inc()
    _count_answer(proxy, exchange, fault.verdict)
    await exchange.request.respond(response)


async def _answer_refusal(
    proxy: Proxy,
    exchange: exchanges.Exchange,
    refuse: dispatch.Refuse,
    failed_status: int,
) -> None:
    """Give the final answer of a request that got none of an upstream."""
    status = refuse.status
    verdict = exchanges.proven(proxy.path, exchange, refuse.verdict)
    if verdict is not NOT_RUN and failed_status:
        status = failed_status
    response = _refusal(status, refuse.reason, verdict, refuse.retry_after_s)
    proxy.metrics.refused.labels(exchange.service.name, refuse.reason).inc()
    _count_answer(proxy, exchange, verdict)
    await exchange.request.respond(response)


async def _refuse(
    proxy: Proxy, request: http.Request, service: str, status: int, reason: str
) -> None:
    """Refuse a request before it is admitted."""
    proxy.metrics.refused.labels(service, reason).inc()
    proxy.metrics.requests.labels(service, NOT_RUN.value).inc()
    await request.respond(_refusal(status, reason, NOT_RUN))


def _refusal(
    status: int,
    reason: str,
    verdict: verdicts.Verdict,
    retry_after_s: float = 0.0,
) -> http.Response:
    headers = [(request_headers.VERDICT, verdict.value.encode('ascii'))]
    if retry_after_s and verdict is NOT_RUN:
        headers.append((b'retry-after', b'%d' % math.ceil(retry_after_s)))
    return http.Response(status, headers, f'{reason}\n'.encode())
