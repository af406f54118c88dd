"""Access to the decisions of the request path of one entry.

Admission, routing, retries, ejection and quotas, put together. Events come
in through functions with the time; decisions go out as a list, to be
carried out in their order.
"""

import collections
import collections.abc
import dataclasses
import random

from oleanderwood import admission
from oleanderwood import configuration
from oleanderwood import decisions
from oleanderwood import ids
from oleanderwood import messages
from oleanderwood import peer_loads
from oleanderwood import quotas
from oleanderwood import retry
from oleanderwood import routing
from oleanderwood import upstream_set
from oleanderwood import verdict as verdicts

FIRST_SERVER_ERROR = 500

# The types of the interface.
Ask = decisions.Ask
Outcome = decisions.Outcome
Start = decisions.Start
Refuse = decisions.Refuse
Decision = decisions.Decision
UpstreamRow = upstream_set.UpstreamRow


@dataclasses.dataclass
class ServiceState:
    """One service at one entry."""

    budget: retry.Budget
    queue: admission.Queue = dataclasses.field(default_factory=admission.Queue)
    upstreams: upstream_set.UpstreamSet = dataclasses.field(
        default_factory=upstream_set.UpstreamSet
    )


@dataclasses.dataclass(frozen=True)
class Policy:
    """The parts of the decisions that can be exchanged.

    :ivar needs_hope: whether a retry needs an upstream that did not just
        fail
    """

    choose: routing.Choose = routing.choose
    limit: routing.Limit = routing.limit_by_loads
    spend: collections.abc.Callable[[retry.Budget], bool] = retry.spend
    needs_hope: bool = True


@dataclasses.dataclass
class State:
    """All that one entry knows for its decisions.

    :ivar entries: all entries that may use the upstreams, in order
    :ivar breaches: invariants that did not hold, with their counts
    """

    entry: ids.EntryId
    data_centre: ids.DataCentre
    entries: tuple[ids.EntryId, ...]
    policy: Policy = Policy()
    services: dict[ids.ServiceId, ServiceState] = dataclasses.field(
        default_factory=dict
    )
    team_quotas: quotas.Quotas = dataclasses.field(
        default_factory=quotas.Quotas
    )
    rates_per_s: dict[ids.TeamId, float] = dataclasses.field(
        default_factory=dict
    )
    requests: dict[int, decisions.Request] = dataclasses.field(
        default_factory=dict
    )
    peers: peer_loads.PeerLoads = dataclasses.field(
        default_factory=peer_loads.PeerLoads
    )
    breaches: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


def make_state(
    entry: ids.EntryId,
    data_centre: ids.DataCentre,
    policy: Policy = Policy(),
) -> State:
    """Make the state of an entry that knows of no other and no service."""
    return State(entry, data_centre, (entry,), policy)


def set_configuration(
    state: State, accepted: configuration.Configuration, now_s: float
) -> None:
    """Take over services and teams; those that stay keep their state."""
    earlier = state.services
    state.services = {}
    for service in accepted.services:
        name = ids.ServiceId(service.name)
        kept = earlier.get(name)
        if kept is None:
            kept = ServiceState(retry.Budget(service.retry_share))
        kept.budget.share = service.retry_share
        state.services[name] = kept
    state.rates_per_s = {
        ids.TeamId(team.name): team.requests_per_s for team in accepted.teams
    }
    _set_rates(state, now_s)


def set_entries(
    state: State, entries: tuple[ids.EntryId, ...], now_s: float
) -> None:
    """Set which entries share the upstreams and quotas (the roster)."""
    state.entries = tuple(sorted({*entries, state.entry}))
    peer_loads.keep_only(state.peers, state.entries)
    for service in state.services.values():
        _place(state, service)
    state.peers.applied = None
    _apply_peer_loads(state, now_s)
    _set_rates(state, now_s)


def set_upstreams(
    state: State,
    service: ids.ServiceId,
    rows: tuple[UpstreamRow, ...],
    now_s: float,
) -> None:
    """Set the upstreams that may get new work."""
    known = state.services.get(service)
    if known is None:
        return
    upstream_set.replace(known.upstreams, rows)
    _place(state, known)
    basis = peer_loads.basis(state.peers, state.entries, now_s)
    _set_limits(state, known.upstreams.by_vm.values(), basis)
    if basis != state.peers.applied:
        # The other services' limits are of an earlier one.
        state.peers.applied = None


def set_peer_loads(
    state: State,
    entry: ids.EntryId,
    loads: tuple[messages.Load, ...],
    now_s: float,
) -> None:
    """Take in what another entry says it has in flight."""
    if entry == state.entry:
        return
    peer_loads.hear(state.peers, entry, loads, now_s)
    _apply_peer_loads(state, now_s)


def own_loads(state: State) -> tuple[messages.Load, ...]:
    """Give what this entry tells the others."""
    return tuple(
        messages.Load(vm, upstream.in_flight)
        for service in state.services.values()
        if service.upstreams.in_flight
        for vm, upstream in service.upstreams.by_vm.items()
        if upstream.in_flight
    )


def is_idle(state: State) -> bool:
    """Say whether no request waits or is in flight."""
    return not state.requests and not any(
        service.queue.length or service.upstreams.in_flight
        for service in state.services.values()
    )


def arrive(
    state: State, ask: Ask, now_s: float, rng: random.Random
) -> list[Decision]:
    """Decide on a new request: start it, let it wait, or refuse it.

    No decision on its ticket means that it waits.
    """
    service = state.services.get(ask.service)
    if service is None:
        return [
            decisions.refuse_for_good(
                ask, decisions.STATUS_NO_SERVICE, 'no such service'
            )
        ]
    request = decisions.Request(ask)
    until_s = quotas.take(state.team_quotas, ask.team, now_s)
    if until_s > 0:
        return [
            decisions.refuse_for_now(
                request,
                decisions.STATUS_OVER_QUOTA,
                'over the quota',
                until_s,
                rng,
            )
        ]
    refusal = _admit(service, request, now_s, rng)
    if refusal is not None:
        quotas.give_back(state.team_quotas, ask.team)
        return [refusal]
    state.requests[ask.ticket] = request
    return _start_waiting(state, service, now_s, rng)


def finish(
    state: State,
    ticket: int,
    outcome: Outcome,
    now_s: float,
    rng: random.Random,
) -> list[Decision]:
    """Take in the end of an attempt.

    A ``RAN`` outcome is the caller's answer. Otherwise the ticket is
    started again, waits to be, or is refused.
    """
    request = state.requests.get(ticket)
    if request is None or request.upstream is None:
        state.breaches['finish of a request that does not run'] += 1
        return []
    request.verdict = retry.combine(request.verdict, outcome.verdict)
    ran = outcome.verdict is verdicts.Verdict.RAN
    if ran:
        del state.requests[ticket]
    service = state.services.get(request.ask.service)
    if service is None:
        return [] if ran else [_give_up(state, request, rng)]
    _leave(service, request, outcome, now_s)
    made: list[Decision] = []
    if not ran and not _retry(state, service, request, outcome, now_s, rng):
        made.append(_give_up(state, request, rng))
    return made + _start_waiting(state, service, now_s, rng)


def abandon(
    state: State, ticket: int, now_s: float, rng: random.Random
) -> list[Decision]:
    """Take in that the caller went away, or the entry gave up on it.

    Nothing more is decided on the ticket.
    """
    request = state.requests.pop(ticket, None)
    if request is None:
        return []
    service = state.services.get(request.ask.service)
    if service is None:
        return []
    if request.waiting is not None:
        admission.remove(service.queue, request.waiting)
    if request.upstream is not None:
        upstream_set.leave(service.upstreams, request.upstream)
    return _start_waiting(state, service, now_s, rng)


def tick(state: State, now_s: float, rng: random.Random) -> list[Decision]:
    """Refuse what can't start in time any more; start what now can.

    To be called every 20 ms or so while anything waits.
    """
    _apply_peer_loads(state, now_s)
    made: list[Decision] = []
    for service in state.services.values():
        for waiting in admission.overdue(service.queue, now_s):
            request = state.requests.pop(waiting.ticket)
            made.append(
                decisions.refuse_for_now(
                    request,
                    decisions.STATUS_UNAVAILABLE,
                    'could not start in time',
                    0.0,
                    rng,
                )
            )
        made += _start_waiting(state, service, now_s, rng)
    return made


def _set_rates(state: State, now_s: float) -> None:
    entries = len(state.entries)
    quotas.set_rates(
        state.team_quotas,
        {team: rate / entries for team, rate in state.rates_per_s.items()},
        now_s,
    )


def _place(state: State, service: ServiceState) -> None:
    routing.place(
        upstream_set.serving(service.upstreams),
        state.data_centre,
        state.entries.index(state.entry),
        len(state.entries),
    )


def _apply_peer_loads(state: State, now_s: float) -> None:
    """Set the limits that changed, as most don't from one call to the next."""
    peers = state.peers
    basis = peer_loads.basis(peers, state.entries, now_s)
    anew = basis != peers.applied
    if not anew and not peers.changed:
        return
    for service in state.services.values():
        by_vm = service.upstreams.by_vm
        vms = by_vm.keys() if anew else by_vm.keys() & peers.changed
        _set_limits(state, [by_vm[vm] for vm in vms], basis)
    peers.applied = basis
    peers.changed.clear()


def _set_limits(
    state: State,
    upstreams: collections.abc.Collection[routing.Upstream],
    basis: peer_loads.Basis,
) -> None:
    peer_loads.apply(state.peers, upstreams, basis)
    upstream_set.set_allowed(upstreams, state.policy.limit, basis.entries)


def _admit(
    service: ServiceState,
    request: decisions.Request,
    now_s: float,
    rng: random.Random,
) -> Refuse | None:
    """Put a request into the queue, unless it can't start in time."""
    ask = request.ask
    latency_s = service.upstreams.latency_s
    latest_start_s = ask.deadline_s - latency_s
    if latest_start_s < now_s:
        return decisions.refuse_for_good(
            ask, decisions.STATUS_LATE, 'can not end in time', request.verdict
        )
    reason, excess_s = '', 0.0
    if not upstream_set.serving(service.upstreams):
        reason = 'no upstream serves'
    waiting = admission.make_waiting(
        ask.ticket, ask.team, ask.priority, latest_start_s, now_s
    )
    if service.queue.length and not request.attempts:
        rate_per_s = service.upstreams.in_flight / latency_s
        excess_s = admission.excess_wait_s(
            service.queue, waiting, rate_per_s, now_s
        )
        if excess_s > 0:
            reason = 'can not start in time'
    if reason:
        return decisions.refuse_for_now(
            request, decisions.STATUS_UNAVAILABLE, reason, excess_s, rng
        )
    request.waiting = waiting
    admission.push(service.queue, waiting, first=request.attempts > 0)
    return None


def _start_waiting(
    state: State, service: ServiceState, now_s: float, rng: random.Random
) -> list[Decision]:
    if not service.queue.length:
        return []
    made: list[Decision] = []
    candidates = upstream_set.candidates(service.upstreams, now_s)
    while service.queue.length:
        request = state.requests[admission.peek(service.queue, now_s).ticket]
        upstream = _choose(state, candidates, request, rng)
        if upstream is None:
            break
        admission.pop(service.queue, now_s)
        made.append(_start(state, service, request, upstream))
    return made


def _choose(
    state: State,
    candidates: list[routing.Upstream],
    request: decisions.Request,
    rng: random.Random,
) -> routing.Upstream | None:
    """Choose an upstream; those that failed the request come last."""
    if request.tried:
        others = [up for up in candidates if up.vm not in request.tried]
        upstream = state.policy.choose(others, rng)
        if upstream is not None:
            return upstream
    return state.policy.choose(candidates, rng)


def _start(
    state: State,
    service: ServiceState,
    request: decisions.Request,
    upstream: routing.Upstream,
) -> Start:
    if not verdicts.may_retry(request.verdict, request.ask.idempotent):
        state.breaches['second start without proof'] += 1
    if not request.attempts:
        retry.earn(service.budget)
    request.waiting = None
    request.upstream = upstream.vm
    request.attempts += 1
    request.tried.add(upstream.vm)
    if not upstream_set.enter(service.upstreams, upstream):
        state.breaches['more requests than the limit of an upstream'] += 1
    return Start(request.ask.ticket, upstream.vm)


def _leave(
    service: ServiceState,
    request: decisions.Request,
    outcome: Outcome,
    now_s: float,
) -> None:
    """Count a request out of its upstream, and learn how that did."""
    vm = request.upstream
    request.upstream = None
    upstream_set.leave(service.upstreams, vm)
    ran = outcome.verdict is verdicts.Verdict.RAN
    if ran and outcome.status < FIRST_SERVER_ERROR:
        upstream_set.answered(service.upstreams, vm, outcome.latency_s, now_s)
    elif outcome.upstream_failed:
        upstream_set.failed(service.upstreams, vm, now_s)


def _retry(
    state: State,
    service: ServiceState,
    request: decisions.Request,
    outcome: Outcome,
    now_s: float,
    rng: random.Random,
) -> bool:
    """Put a failed request first in its queue, if it may be sent again."""
    ask = request.ask
    if not outcome.repeatable:
        return False
    if not retry.allowed(request.verdict, ask.idempotent, request.attempts):
        return False
    # What never reached an upstream costs none of them anything.
    if outcome.upstream_failed:
        if state.policy.needs_hope and not upstream_set.has_hope(
            service.upstreams, request.tried, now_s
        ):
            return False
        if not state.policy.spend(service.budget):
            return False
    return _admit(service, request, now_s, rng) is None


def _give_up(
    state: State, request: decisions.Request, rng: random.Random
) -> Refuse:
    del state.requests[request.ask.ticket]
    return decisions.refuse_for_now(
        request,
        decisions.STATUS_UNAVAILABLE,
        'the upstream failed',
        0.0,
        rng,
    )
