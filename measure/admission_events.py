"""Access to generated requests and faults, fed to the entries' decisions."""

import collections
import dataclasses
import heapq
import random
import time

from oleanderwood import configuration
from oleanderwood import dispatch
from oleanderwood import ids
from oleanderwood import messages
from oleanderwood import retry
from oleanderwood import verdict as verdicts

SERVICE = ids.ServiceId('service')
ONE_WAY_S = 0.0005
"""Time between an entry and an upstream."""

CONNECT_TIMEOUT_S = 0.5
TICK_S = 0.02
GOSSIP_S = 1.0
TEAMS = 8
FOREVER_S = 1e9
PRIORITIES = (
    (configuration.Priority.URGENT, 0.1),
    (configuration.Priority.NORMAL, 0.7),
    (configuration.Priority.BULK, 0.2),
)


@dataclasses.dataclass(frozen=True)
class Size:
    """How many entries share which upstreams; a rack holds four."""

    name: str
    entries: int
    upstreams: int
    data_centres: int
    slots: int = 8
    connections: int = 64
    rack: int = 4


@dataclasses.dataclass(frozen=True)
class Fault:
    """Upstreams ``0 .. count - 1`` are away for a time.

    :ivar silent: they don't even refuse connections
    """

    from_s: float
    to_s: float
    count: int
    silent: bool


@dataclasses.dataclass(frozen=True)
class Scenario:
    """What is asked of a fleet.

    :ivar load: offered work as a share of all slots
    :ivar skew: share of the requests that all go to the first entry
    """

    name: str
    load: float
    length_s: float
    fault: Fault | None = None
    skew: float = 0.0
    service_s: float = 0.1
    deadline_s: float = 2.0


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One request of the generated input."""

    at_s: float
    entry: int
    service_s: float
    team: ids.TeamId
    priority: configuration.Priority
    idempotent: bool


@dataclasses.dataclass
class Tally:
    """What was seen in one run."""

    offered: int = 0
    good: int = 0
    good_work_s: float = 0.0
    window_work_s: float = 0.0
    late: int = 0
    refused: int = 0
    cut: int = 0
    slow_refusals: int = 0
    fresh: int = 0
    retries: int = 0
    local: int = 0
    decisions: int = 0
    decision_s: float = 0.0
    breaches: int = 0
    waits_s: list[float] = dataclasses.field(default_factory=list)
    urgent_waits_s: list[float] = dataclasses.field(default_factory=list)


WARM_UP_S = 0.5
"""Start of the window over which work at overload is counted."""

SLOW_REFUSAL_S = 0.05
"""A refusal later than this after the arrival counts as slow."""


def generate(size: Size, scenario: Scenario, seed: int) -> list[Arrival]:
    """Generate the requests of one run: Poisson, exponential sizes."""
    rng = random.Random(f'{size.name}/{scenario.name}/{seed}')
    slots = size.upstreams * size.slots
    rate_per_s = scenario.load * slots / scenario.service_s
    kinds = [priority for priority, _ in PRIORITIES]
    weights = [weight for _, weight in PRIORITIES]
    arrivals = []
    at_s = rng.expovariate(rate_per_s)
    while at_s < scenario.length_s:
        skewed = rng.random() < scenario.skew
        arrivals.append(
            Arrival(
                at_s,
                0 if skewed else rng.randrange(size.entries),
                rng.expovariate(1 / scenario.service_s),
                ids.TeamId(f'team-{rng.randrange(TEAMS)}'),
                rng.choices(kinds, weights)[0],
                rng.random() < 0.5,
            )
        )
        at_s += rng.expovariate(rate_per_s)
    return arrivals


def central_waits_s(size: Size, arrivals: list[Arrival]) -> list[float]:
    """Give the waits in one central queue over all slots (the bound)."""
    free_at_s = [0.0] * (size.upstreams * size.slots)
    waits_s = []
    for arrival in arrivals:
        start_s = max(free_at_s[0], arrival.at_s)
        waits_s.append(start_s - arrival.at_s)
        heapq.heapreplace(free_at_s, start_s + arrival.service_s)
    return waits_s


@dataclasses.dataclass
class Attempt:
    """One request on its way through an upstream."""

    ticket: int
    entry: int
    upstream: int
    sent_at_s: float
    abandoned: bool = False


@dataclasses.dataclass
class Server:
    """One upstream: a few slots, and a queue in order of arrival."""

    away: bool = False
    silent: bool = False
    busy: int = 0
    connected: int = 0
    generation: int = 0
    line: collections.deque[Attempt] = dataclasses.field(
        default_factory=collections.deque
    )
    working: dict[int, Attempt] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class Run:
    """A run of one scenario under one policy."""

    size: Size
    scenario: Scenario
    arrivals: list[Arrival]
    states: list[dispatch.State]
    servers: list[Server]
    rng: random.Random
    tally: Tally = dataclasses.field(default_factory=Tally)
    events: list[tuple] = dataclasses.field(default_factory=list)
    sequence: int = 0
    now_s: float = 0.0
    running: dict[int, Attempt] = dataclasses.field(default_factory=dict)
    open: set[int] = dataclasses.field(default_factory=set)
    failed_attempts: set[int] = dataclasses.field(default_factory=set)


def run(
    size: Size,
    scenario: Scenario,
    arrivals: list[Arrival],
    policy: dispatch.Policy,
    seed: int,
) -> Tally:
    """Feed the requests and faults to the entries' decisions."""
    states = [_make_state(size, policy, n) for n in range(size.entries)]
    servers = [Server() for _ in range(size.upstreams)]
    state = Run(size, scenario, arrivals, states, servers, random.Random(seed))
    for ticket, arrival in enumerate(arrivals):
        _at(state, arrival.at_s, _arrive, ticket)
    for entry in range(size.entries):
        _at(state, 0.0, _tell, entry)
        _at(state, GOSSIP_S * (entry + 1) / size.entries, _gossip, entry)
        _at(state, TICK_S * (entry + 1) / size.entries, _tick, entry)
    if scenario.fault is not None:
        _at(state, scenario.fault.from_s, _fail, scenario.fault)
        _at(state, scenario.fault.to_s, _mend, scenario.fault)
    end_s = scenario.length_s + 2 * scenario.deadline_s
    while state.events:
        state.now_s, _, act, argument = heapq.heappop(state.events)
        if state.now_s > end_s:
            break
        if state.now_s > scenario.length_s and not state.open:
            break
        act(state, argument)
    _close(state)
    return state.tally


def _make_state(
    size: Size, policy: dispatch.Policy, number: int
) -> dispatch.State:
    places = {
        ids.EntryId(f'e-{n:02}'): ids.DataCentre(f'dc-{n % size.data_centres}')
        for n in range(size.entries)
    }
    entry = ids.EntryId(f'e-{number:02}')
    state = dispatch.make_state(entry, places[entry], policy)
    dispatch.set_configuration(
        state,
        configuration.Configuration(
            services=(configuration.Service(name='service', path_prefix='/'),),
            teams=tuple(
                configuration.Team(name=f'team-{n}', requests_per_s=1e6)
                for n in range(TEAMS)
            ),
        ),
        0.0,
    )
    dispatch.set_entries(state, tuple(places), 0.0)
    rows = tuple(
        dispatch.UpstreamRow(
            ids.VmId(f'{n}'),
            ids.Epoch(1),
            ids.DataCentre(f'dc-{n % size.data_centres}'),
            size.slots,
            size.connections,
        )
        for n in range(size.upstreams)
    )
    dispatch.set_upstreams(state, SERVICE, rows, 0.0)
    # An entry that has run for a while has saved retries.
    budget = state.services[SERVICE].budget
    budget.balance = retry.MAX_SAVED_RETRIES
    return state


def _at(state: Run, at_s: float, act, argument) -> None:
    state.sequence += 1
    heapq.heappush(state.events, (at_s, state.sequence, act, argument))


def _decide(state: Run, entry: int, function, *arguments) -> None:
    before_s = time.perf_counter()
    decisions = function(
        state.states[entry], *arguments, state.now_s, state.rng
    )
    state.tally.decision_s += time.perf_counter() - before_s
    state.tally.decisions += 1
    for decision in decisions:
        if isinstance(decision, dispatch.Start):
            _send(state, entry, decision)
        else:
            _refused(state, decision)


def _arrive(state: Run, ticket: int) -> None:
    arrival = state.arrivals[ticket]
    state.tally.offered += 1
    state.open.add(ticket)
    deadline_s = arrival.at_s + state.scenario.deadline_s
    ask = dispatch.Ask(
        ticket,
        SERVICE,
        arrival.team,
        arrival.priority,
        deadline_s,
        arrival.idempotent,
    )
    _at(state, deadline_s, _give_up, ticket)
    _decide(state, arrival.entry, dispatch.arrive, ask)


def _refused(state: Run, refusal: dispatch.Refuse) -> None:
    ticket = refusal.ticket
    if ticket not in state.open:
        state.tally.breaches += 1
        return
    state.open.discard(ticket)
    state.tally.refused += 1
    waited_s = state.now_s - state.arrivals[ticket].at_s
    if waited_s > SLOW_REFUSAL_S and ticket not in state.failed_attempts:
        state.tally.slow_refusals += 1


def _send(state: Run, entry: int, start: dispatch.Start) -> None:
    ticket = start.ticket
    if ticket not in state.open or ticket in state.running:
        state.tally.breaches += 1
    if ticket in state.failed_attempts:
        state.tally.retries += 1
    else:
        state.tally.fresh += 1
    upstream = int(start.upstream)
    here = state.states[entry].data_centre
    own = upstream % state.size.data_centres
    if ticket not in state.failed_attempts:
        state.tally.local += here == f'dc-{own}'
    attempt = Attempt(ticket, entry, upstream, state.now_s)
    state.running[ticket] = attempt
    _at(state, state.now_s + ONE_WAY_S, _reach, attempt)


def _reach(state: Run, attempt: Attempt) -> None:
    if attempt.abandoned:
        return
    server = state.servers[attempt.upstream]
    if server.away:
        after_s = CONNECT_TIMEOUT_S if server.silent else ONE_WAY_S
        _at(state, state.now_s + after_s, _not_connected, attempt)
        return
    server.connected += 1
    if server.connected > state.size.connections:
        state.tally.breaches += 1
    server.line.append(attempt)
    _work(state, server)


def _work(state: Run, server: Server) -> None:
    while server.line and server.busy < state.size.slots:
        attempt = server.line.popleft()
        if attempt.abandoned:
            server.connected -= 1
            continue
        server.busy += 1
        server.working[attempt.ticket] = attempt
        arrival = state.arrivals[attempt.ticket]
        if attempt.ticket not in state.failed_attempts:
            wait_s = state.now_s - ONE_WAY_S - arrival.at_s
            state.tally.waits_s.append(wait_s)
            if arrival.priority is configuration.Priority.URGENT:
                state.tally.urgent_waits_s.append(wait_s)
        event = (attempt, server.generation)
        _at(state, state.now_s + arrival.service_s, _worked, event)


def _worked(state: Run, event: tuple[Attempt, int]) -> None:
    attempt, generation = event
    server = state.servers[attempt.upstream]
    if server.generation != generation:
        return
    server.busy -= 1
    server.connected -= 1
    del server.working[attempt.ticket]
    if not attempt.abandoned:
        _at(state, state.now_s + ONE_WAY_S, _answered, attempt)
    _work(state, server)


def _answered(state: Run, attempt: Attempt) -> None:
    if attempt.abandoned:
        return
    arrival = state.arrivals[attempt.ticket]
    state.open.discard(attempt.ticket)
    state.tally.good += 1
    state.tally.good_work_s += arrival.service_s
    if WARM_UP_S <= state.now_s < state.scenario.length_s:
        state.tally.window_work_s += arrival.service_s
    _finished(state, attempt, verdicts.Verdict.RAN, 200)


def _not_connected(state: Run, attempt: Attempt) -> None:
    if not attempt.abandoned:
        _finished(state, attempt, verdicts.Verdict.NOT_RUN, 0)


def _finished(
    state: Run, attempt: Attempt, verdict: verdicts.Verdict, status: int
) -> None:
    attempt.abandoned = True
    del state.running[attempt.ticket]
    if verdict is not verdicts.Verdict.RAN:
        state.failed_attempts.add(attempt.ticket)
    outcome = dispatch.Outcome(
        verdict, status, state.now_s - attempt.sent_at_s
    )
    _decide(state, attempt.entry, dispatch.finish, attempt.ticket, outcome)


def _give_up(state: Run, ticket: int) -> None:
    """End a request at its deadline, as the entry does."""
    if ticket not in state.open:
        return
    state.open.discard(ticket)
    state.tally.late += 1
    attempt = state.running.pop(ticket, None)
    if attempt is not None:
        attempt.abandoned = True
    entry = state.arrivals[ticket].entry
    _decide(state, entry, dispatch.abandon, ticket)


def _fail(state: Run, fault: Fault) -> None:
    for server in state.servers[: fault.count]:
        server.away = True
        server.silent = fault.silent
        server.generation += 1
        lost = [*server.working.values(), *server.line]
        server.working.clear()
        server.line.clear()
        server.busy = server.connected = 0
        for attempt in lost:
            if not fault.silent and not attempt.abandoned:
                state.tally.cut += 1
                _at(state, state.now_s + ONE_WAY_S, _cut, attempt)


def _cut(state: Run, attempt: Attempt) -> None:
    if not attempt.abandoned:
        _finished(state, attempt, verdicts.Verdict.MAY_HAVE_RUN, 0)


def _mend(state: Run, fault: Fault) -> None:
    for server in state.servers[: fault.count]:
        server.away = False


def _gossip(state: Run, entry: int) -> None:
    _tell(state, entry)
    _at(state, state.now_s + GOSSIP_S, _gossip, entry)


def _tell(state: Run, entry: int) -> None:
    loads: tuple[messages.Load, ...] = dispatch.own_loads(state.states[entry])
    for other in range(state.size.entries):
        if other != entry:
            dispatch.set_peer_loads(
                state.states[other],
                state.states[entry].entry,
                loads,
                state.now_s,
            )


def _tick(state: Run, entry: int) -> None:
    """Tick while anything waits, as the entry does."""
    services = state.states[entry].services.values()
    if any(service.queue.length for service in services):
        _decide(state, entry, dispatch.tick)
    _at(state, state.now_s + TICK_S, _tick, entry)


def _close(state: Run) -> None:
    """Count what must be zero at the end."""
    state.tally.breaches += len(state.open)
    for entry in state.states:
        state.tally.breaches += sum(entry.breaches.values())
        for service in entry.services.values():
            budget = service.budget
            state.tally.breaches += service.upstreams.in_flight != 0
            state.tally.breaches += budget.balance < 0
