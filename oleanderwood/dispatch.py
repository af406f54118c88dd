"""Access to the decisions of the request path of one entry.

Admission, routing, retries, ejection and quotas, put together. Events come
in through functions with the time; decisions go out as a list, to be
carried out in their order.
"""

import collections
import collections.abc
import dataclasses
import math
import random

import msgspec

from oleanderwood import admission
from oleanderwood import configuration
from oleanderwood import ejection
from oleanderwood import ids
from oleanderwood import messages
from oleanderwood import quotas
from oleanderwood import retry
from oleanderwood import routing
from oleanderwood import verdict as verdicts

STATUS_OVER_QUOTA = 429
STATUS_UNAVAILABLE = 503
STATUS_NO_SERVICE = 404
STATUS_LATE = 504
FIRST_SERVER_ERROR = 500

MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0

OVERFILL = 1
"""Requests above its share of slots that an entry may send an upstream.

They wait there and hide the way there and back.
"""

Limit = collections.abc.Callable[[routing.Upstream, int], int]
"""Gives how many requests one of some entries may have at an upstream."""

INITIAL_LATENCY_S = 0.1
LATENCY_WEIGHT = 0.05
"""Weight of one latency in the moving average of a service."""

PEER_LOAD_S = 5.0
"""Age from which a peer's loads aren't used."""


class Ask(msgspec.Struct, frozen=True):
    """A caller's request.

    :ivar ticket: the entry's number for it, never used twice
    :ivar deadline_s: when the answer is due, on the clock of ``now_s``
    """

    ticket: int
    service: ids.ServiceId
    team: ids.TeamId
    priority: configuration.Priority
    deadline_s: float
    idempotent: bool


class Outcome(msgspec.Struct, frozen=True):
    """How one attempt ended.

    :ivar status: the upstream's status, 0 for none
    :ivar latency_s: from the start of the attempt
    :ivar repeatable: whether the request is still there to be sent again
    :ivar upstream_failed: whether a failure was the upstream's
    """

    verdict: verdicts.Verdict
    status: int
    latency_s: float
    repeatable: bool = True
    upstream_failed: bool = True


class Start(msgspec.Struct, frozen=True):
    """Send the request to an upstream."""

    ticket: int
    upstream: ids.VmId


class Refuse(msgspec.Struct, frozen=True):
    """Give the caller this final answer; the ticket is done with."""

    ticket: int
    status: int
    reason: str
    verdict: verdicts.Verdict
    retry_after_s: float


Decision = Start | Refuse


class UpstreamRow(msgspec.Struct, frozen=True):
    """An upstream as the entry's grants and the configuration give it."""

    vm: ids.VmId
    epoch: ids.Epoch
    data_centre: ids.DataCentre
    slots: int
    connections: int


@dataclasses.dataclass
class Request:
    """A request between its arrival and its final answer.

    :ivar upstream: where it runs, ``None`` while it waits
    :ivar verdict: what is known of the attempts that ended
    """

    ask: Ask
    waiting: admission.Waiting | None = None
    upstream: ids.VmId | None = None
    verdict: verdicts.Verdict = verdicts.Verdict.NOT_RUN
    attempts: int = 0
    tried: set[ids.VmId] = dataclasses.field(default_factory=set)


@dataclasses.dataclass
class ServiceState:
    """One service at one entry."""

    budget: retry.Budget
    queue: admission.Queue = dataclasses.field(default_factory=admission.Queue)
    upstreams: dict[ids.VmId, routing.Upstream] = dataclasses.field(
        default_factory=dict
    )
    healths: dict[ids.VmId, ejection.Health] = dataclasses.field(
        default_factory=dict
    )
    in_flight: int = 0
    latency_s: float = INITIAL_LATENCY_S


@dataclasses.dataclass
class PeerLoads:
    """What another entry last said of its requests in flight."""

    at_s: float
    by_vm: dict[ids.VmId, int]


def limit_by_share(upstream: routing.Upstream, entries: int) -> int:
    """Limit an entry to its share of the slots and a little more."""
    return routing.share(upstream.slots, entries) + OVERFILL


@dataclasses.dataclass(frozen=True)
class Policy:
    """The parts of the decisions that can be exchanged."""

    choose: routing.Choose = routing.choose
    limit: Limit = limit_by_share
    spend: collections.abc.Callable[[retry.Budget], bool] = retry.spend


@dataclasses.dataclass
class State:
    """All that one entry knows for its decisions.

    :ivar entries: all entries that may use the upstreams, and where
    :ivar breaches: invariants that did not hold, with their counts
    """

    entry: ids.EntryId
    data_centre: ids.DataCentre
    entries: dict[ids.EntryId, ids.DataCentre]
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
    requests: dict[int, Request] = dataclasses.field(default_factory=dict)
    peers: dict[ids.EntryId, PeerLoads] = dataclasses.field(
        default_factory=dict
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
    return State(entry, data_centre, {entry: data_centre}, policy)


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
    state: State,
    entries: dict[ids.EntryId, ids.DataCentre],
    now_s: float,
) -> None:
    """Set which entries share the upstreams and quotas (the roster)."""
    state.entries = {**entries, state.entry: state.data_centre}
    for entry in set(state.peers) - set(state.entries):
        del state.peers[entry]
    for service in state.services.values():
        _place(state, service)
    _set_rates(state, now_s)


def set_upstreams(
    state: State,
    service: ids.ServiceId,
    rows: tuple[UpstreamRow, ...],
    now_s: float,
) -> None:
    """Set the upstreams that may get new work.

    A new epoch starts without the failures of the earlier one. Requests
    in flight at an upstream that is gone go on.
    """
    known = state.services.get(service)
    if known is None:
        return
    for upstream in known.upstreams.values():
        upstream.serving = False
    for row in rows:
        upstream = known.upstreams.get(row.vm)
        if upstream is None:
            upstream = routing.Upstream(
                row.vm, row.epoch, row.data_centre, row.slots, row.connections
            )
            known.upstreams[row.vm] = upstream
        if row.vm not in known.healths or upstream.epoch != row.epoch:
            known.healths[row.vm] = ejection.Health()
        upstream.epoch = row.epoch
        upstream.data_centre = row.data_centre
        upstream.slots = row.slots
        upstream.connections = row.connections
        upstream.serving = True
    for vm in [vm for vm, up in known.upstreams.items() if not up.serving]:
        known.healths.pop(vm, None)
        _forget_if_idle(known, vm)
    _place(state, known)
    _add_peer_loads(state, now_s)


def set_peer_loads(
    state: State,
    entry: ids.EntryId,
    loads: tuple[messages.Load, ...],
    now_s: float,
) -> None:
    """Take in what another entry says it has in flight."""
    if entry == state.entry:
        return
    by_vm = {load.vm: load.in_flight for load in loads}
    state.peers[entry] = PeerLoads(now_s, by_vm)
    _add_peer_loads(state, now_s)


def own_loads(state: State) -> tuple[messages.Load, ...]:
    """Give what this entry tells the others."""
    return tuple(
        messages.Load(vm, upstream.in_flight)
        for service in state.services.values()
        for vm, upstream in service.upstreams.items()
        if upstream.in_flight
    )


def arrive(
    state: State, ask: Ask, now_s: float, rng: random.Random
) -> list[Decision]:
    """Decide on a new request: start it, let it wait, or refuse it.

    No decision on its ticket means that it waits.
    """
    service = state.services.get(ask.service)
    if service is None:
        return [_refusal(ask, STATUS_NO_SERVICE, 'no such service')]
    until_s = quotas.take(state.team_quotas, ask.team, now_s)
    if until_s > 0:
        return [
            _refusal(ask, STATUS_OVER_QUOTA, 'over the quota', until_s, rng)
        ]
    request = Request(ask)
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
    service = state.services.get(request.ask.service)
    if service is None:
        del state.requests[ticket]
        return _final_of_removed_service(request, outcome)
    vm = request.upstream
    _leave_upstream(service, request)
    _learn(service, vm, outcome, now_s)
    request.verdict = retry.combine(request.verdict, outcome.verdict)
    decisions: list[Decision] = []
    if outcome.verdict is verdicts.Verdict.RAN:
        del state.requests[ticket]
    else:
        decisions += _retry_or_give_up(
            state, service, request, outcome, now_s, rng
        )
    return decisions + _start_waiting(state, service, now_s, rng)


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
        _leave_upstream(service, request)
    return _start_waiting(state, service, now_s, rng)


def tick(state: State, now_s: float, rng: random.Random) -> list[Decision]:
    """Refuse what can't start in time any more; start what now can.

    To be called every 20 ms or so while anything waits.
    """
    _add_peer_loads(state, now_s)
    decisions: list[Decision] = []
    for service in state.services.values():
        decisions += _refuse_overdue(state, service, now_s, rng)
        decisions += _start_waiting(state, service, now_s, rng)
    return decisions


def _place(state: State, service: ServiceState) -> None:
    routing.place(
        [up for up in service.upstreams.values() if up.serving],
        state.data_centre,
        sorted(state.entries).index(state.entry),
        len(state.entries),
        list(state.entries.values()).count(state.data_centre),
    )


def _set_rates(state: State, now_s: float) -> None:
    entries = len(state.entries)
    quotas.set_rates(
        state.team_quotas,
        {team: rate / entries for team, rate in state.rates_per_s.items()},
        now_s,
    )


def _add_peer_loads(state: State, now_s: float) -> None:
    fresh = [
        loads.by_vm
        for loads in state.peers.values()
        if now_s - loads.at_s <= PEER_LOAD_S
    ]
    for service in state.services.values():
        for vm, upstream in service.upstreams.items():
            upstream.peer_load = sum(by_vm.get(vm, 0) for by_vm in fresh)


def _candidates(
    state: State, service: ServiceState, now_s: float
) -> list[routing.Upstream]:
    entries = len(state.entries)
    found = []
    for vm, upstream in service.upstreams.items():
        if not upstream.serving:
            continue
        slots = state.policy.limit(upstream, entries)
        usable = ejection.usable_slots(service.healths[vm], slots, now_s)
        upstream.limit = min(
            usable, routing.connection_limit(upstream.connections, entries)
        )
        if upstream.limit:
            found.append(upstream)
    return found


def _admit(
    service: ServiceState,
    request: Request,
    now_s: float,
    rng: random.Random,
    first: bool = False,
) -> Refuse | None:
    ask = request.ask
    latest_start_s = ask.deadline_s - service.latency_s
    if latest_start_s < now_s:
        return _refusal(ask, STATUS_LATE, 'can not end in time')
    if not any(up.serving for up in service.upstreams.values()):
        return _refusal(
            ask, STATUS_UNAVAILABLE, 'no upstream serves', 0.0, rng
        )
    request.waiting = admission.Waiting(
        ask.ticket, ask.team, ask.priority, latest_start_s
    )
    if service.queue.length:
        ahead = admission.ahead(service.queue, ask.team, ask.priority)
        wait_s = admission.predicted_wait_s(
            0 if first else ahead, service.in_flight, service.latency_s
        )
        allowed_s = admission.allowed_wait_s(
            ask.priority, latest_start_s, now_s
        )
        if wait_s > allowed_s:
            return _refusal(
                ask,
                STATUS_UNAVAILABLE,
                'can not start in time',
                wait_s - allowed_s,
                rng,
            )
    admission.push(service.queue, request.waiting, first)
    return None


def _start_waiting(
    state: State, service: ServiceState, now_s: float, rng: random.Random
) -> list[Decision]:
    decisions: list[Decision] = []
    if not service.queue.length:
        return decisions
    candidates = _candidates(state, service, now_s)
    while service.queue.length:
        request = state.requests[admission.peek(service.queue).ticket]
        upstream = _choose(state, candidates, request, rng)
        if upstream is None:
            break
        admission.pop(service.queue)
        decisions.append(_start(state, service, request, upstream))
    return decisions


def _choose(
    state: State,
    candidates: list[routing.Upstream],
    request: Request,
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
    request: Request,
    upstream: routing.Upstream,
) -> Start:
    if request.verdict is verdicts.Verdict.RAN:
        state.breaches['start of a request that ran'] += 1
    if not request.attempts:
        retry.earn(service.budget)
    request.waiting = None
    request.upstream = upstream.vm
    request.attempts += 1
    request.tried.add(upstream.vm)
    upstream.in_flight += 1
    service.in_flight += 1
    if upstream.in_flight > upstream.limit:
        state.breaches['more requests than the limit of an upstream'] += 1
    return Start(request.ask.ticket, upstream.vm)


def _leave_upstream(service: ServiceState, request: Request) -> None:
    assert request.upstream is not None
    service.in_flight -= 1
    service.upstreams[request.upstream].in_flight -= 1
    _forget_if_idle(service, request.upstream)
    request.upstream = None


def _forget_if_idle(service: ServiceState, vm: ids.VmId) -> None:
    upstream = service.upstreams[vm]
    if not upstream.serving and not upstream.in_flight:
        del service.upstreams[vm]


def _learn(
    service: ServiceState, vm: ids.VmId, outcome: Outcome, now_s: float
) -> None:
    answered = outcome.verdict is verdicts.Verdict.RAN
    if answered:
        change_s = outcome.latency_s - service.latency_s
        service.latency_s += LATENCY_WEIGHT * change_s
    if vm not in service.healths:
        return
    if answered and outcome.status < FIRST_SERVER_ERROR:
        ejection.succeeded(service.healths[vm], now_s)
    elif outcome.upstream_failed:
        ejection.failed(service.healths, vm, now_s)


def _retry_or_give_up(
    state: State,
    service: ServiceState,
    request: Request,
    outcome: Outcome,
    now_s: float,
    rng: random.Random,
) -> list[Decision]:
    ask = request.ask
    if outcome.repeatable and retry.allowed(
        request.verdict, ask.idempotent, request.attempts
    ):
        # What never reached an upstream costs none of them anything.
        free = not outcome.upstream_failed
        if free or state.policy.spend(service.budget):
            refusal = _admit(service, request, now_s, rng, first=True)
            if refusal is None:
                return []
    del state.requests[ask.ticket]
    return [
        _refusal(
            ask,
            STATUS_UNAVAILABLE,
            'the upstream failed',
            0.0,
            rng,
            request.verdict,
        )
    ]


def _refuse_overdue(
    state: State, service: ServiceState, now_s: float, rng: random.Random
) -> list[Decision]:
    decisions: list[Decision] = []
    for waiting in admission.overdue(service.queue, now_s):
        admission.remove(service.queue, waiting)
        request = state.requests.pop(waiting.ticket)
        decisions.append(
            _refusal(
                request.ask,
                STATUS_UNAVAILABLE,
                'could not start in time',
                0.0,
                rng,
                request.verdict,
            )
        )
    return decisions


def _final_of_removed_service(
    request: Request, outcome: Outcome
) -> list[Decision]:
    if outcome.verdict is verdicts.Verdict.RAN:
        return []
    verdict = retry.combine(request.verdict, outcome.verdict)
    return [
        Refuse(
            request.ask.ticket,
            STATUS_UNAVAILABLE,
            'the service was removed',
            verdict,
            0.0,
        )
    ]


def _refusal(
    ask: Ask,
    status: int,
    reason: str,
    after_s: float = 0.0,
    rng: random.Random | None = None,
    verdict: verdicts.Verdict = verdicts.Verdict.NOT_RUN,
) -> Refuse:
    """Make a refusal; without ``rng`` a repeat makes no sense (0.0)."""
    if rng is None:
        return Refuse(ask.ticket, status, reason, verdict, 0.0)
    spread_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, after_s))
    retry_after_s = spread_s * rng.uniform(1.0, 1.5)
    return Refuse(
        ask.ticket, status, reason, verdict, math.ceil(retry_after_s)
    )
