"""Property tests of dispatch: random events, with the rules checked."""

import collections

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from oleanderwood import admission
from oleanderwood import configuration
from oleanderwood import dispatch
from oleanderwood import ejection
from oleanderwood import messages
from oleanderwood import retry
from oleanderwood import routing
from oleanderwood import verdict as verdicts
from tests import utils_admission as utils

UPSTREAMS = 4
SLOTS = 2
MOST_THERE = routing.share(SLOTS, 2) + routing.OVERFILL
RATE_PER_S = 20.0
TEAMS = ('drama', 'news', 'sport')
NOT_RUN = verdicts.Verdict.NOT_RUN
RAN = verdicts.Verdict.RAN
SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=40,
)


class Dispatching(stateful.RuleBasedStateMachine):
    """Drives one entry; the model is what was decided so far."""

    def __init__(self):
        super().__init__()
        self.state = utils.make_state(
            UPSTREAMS,
            SLOTS,
            entries=2,
            requests_per_s=RATE_PER_S,
            teams=TEAMS,
        )
        self.service = self.state.services[utils.SERVICE]
        self.rng = utils.make_rng()
        self.now_s = 0.0
        self.running = {}
        self.waiting = set()
        self.idempotent = {}
        self.ends = collections.defaultdict(list)
        self.starts = collections.Counter()
        self.admitted = collections.Counter()

    @stateful.rule(
        team=st.sampled_from(TEAMS),
        priority=st.sampled_from(admission.CLASSES),
        within_s=st.sampled_from([0.05, 0.5, 5.0]),
        idempotent=st.booleans(),
        count=st.sampled_from([1, 2, 6, 12]),
    )
    def arrive(self, team, priority, within_s, idempotent, count):
        for _ in range(count):
            self.arrive_one(team, priority, within_s, idempotent)

    def arrive_one(self, team, priority, within_s, idempotent):
        ticket = len(self.idempotent)
        self.idempotent[ticket] = idempotent
        deadline_s = self.now_s + within_s
        ask = utils.make_ask(ticket, deadline_s, team, priority, idempotent)
        made = dispatch.arrive(self.state, ask, self.now_s, self.rng)
        self.waiting.add(ticket)
        refused = any(isinstance(one, dispatch.Refuse) for one in made)
        self.admitted[team] += not refused
        self.carry_out(made)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(
        pick=st.integers(0, 99),
        verdict=st.sampled_from(verdicts.Verdict),
        status=st.sampled_from([200, 200, 503]),
    )
    def finish(self, pick, verdict, status):
        ticket = sorted(self.running)[pick % len(self.running)]
        self.finish_one(ticket, verdict, status)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(
        most=st.integers(1, 6),
        verdict=st.sampled_from([NOT_RUN, verdicts.Verdict.MAY_HAVE_RUN]),
    )
    def fail_many(self, most, verdict):
        for ticket in sorted(self.running)[:most]:
            self.finish_one(ticket, verdict, 0)

    def finish_one(self, ticket, verdict, status):
        del self.running[ticket]
        self.ends[ticket].append(verdict)
        outcome = dispatch.Outcome(verdict, status, 0.1)
        made = dispatch.finish(
            self.state, ticket, outcome, self.now_s, self.rng
        )
        if verdict is not RAN:
            self.waiting.add(ticket)
        self.carry_out(made)

    @stateful.precondition(lambda self: self.running or self.waiting)
    @stateful.rule(pick=st.integers(0, 99))
    def abandon(self, pick):
        tickets = sorted(self.waiting | set(self.running))
        ticket = tickets[pick % len(tickets)]
        self.running.pop(ticket, None)
        self.waiting.discard(ticket)
        made = dispatch.abandon(self.state, ticket, self.now_s, self.rng)
        assert all(one.ticket != ticket for one in made)
        self.carry_out(made)

    @stateful.rule(elapsed_s=st.sampled_from([0.01, 0.2, 1.0]))
    def tick(self, elapsed_s):
        self.now_s += elapsed_s
        self.carry_out(dispatch.tick(self.state, self.now_s, self.rng))
        for request in self.state.requests.values():
            if request.waiting is not None:
                assert request.waiting.latest_start_s >= self.now_s

    @stateful.rule(
        serving=st.integers(0, UPSTREAMS), load=st.integers(0, SLOTS)
    )
    def change(self, serving, load):
        rows = utils.make_rows(serving, SLOTS)
        dispatch.set_upstreams(self.state, utils.SERVICE, rows, self.now_s)
        loads = tuple(messages.Load(row.vm, load) for row in rows)
        dispatch.set_peer_loads(self.state, 'e-1', loads, self.now_s)
        self.carry_out(dispatch.tick(self.state, self.now_s, self.rng))

    def carry_out(self, made):
        for one in made:
            assert one.ticket in self.waiting
            self.waiting.discard(one.ticket)
            if isinstance(one, dispatch.Start):
                self.start(one)
            else:
                ends = self.ends[one.ticket]
                if one.verdict is NOT_RUN:
                    assert all(end is NOT_RUN for end in ends)
                assert one.verdict is not RAN

    def start(self, start):
        self.starts[start.ticket] += 1
        assert self.starts[start.ticket] <= retry.MAX_ATTEMPTS
        for end in self.ends[start.ticket]:
            assert verdicts.may_retry(end, self.idempotent[start.ticket])
        self.running[start.ticket] = start.upstream
        upstream = self.service.upstreams.by_vm[start.upstream]
        assert upstream.serving

    @stateful.invariant()
    def limits_are_kept(self):
        counts = collections.Counter(self.running.values())
        for vm, upstream in self.service.upstreams.by_vm.items():
            assert upstream.in_flight == counts[vm]
            assert counts[vm] <= MOST_THERE
        assert sum(counts.values()) == self.service.upstreams.in_flight
        assert not self.state.breaches

    @stateful.invariant()
    def quota_is_kept(self):
        rate_per_s = RATE_PER_S / len(self.state.entries)
        for team in TEAMS:
            most = rate_per_s * (self.now_s + 1.0)
            assert self.admitted[team] <= most + 1e-6

    @stateful.invariant()
    def retry_budget_is_kept(self):
        retries = sum(count - 1 for count in self.starts.values())
        fresh = len(self.starts)
        share = self.service.budget.share
        assert retries <= share * fresh + retry.INITIAL_RETRIES + 1e-6

    @stateful.invariant()
    def ejections_stay_under_the_cap(self):
        healths = self.service.upstreams.healths
        ejected = ejection.ejected_count(healths, self.now_s)
        most = ejection.max_ejected(UPSTREAMS)
        assert ejected <= most

    @stateful.invariant()
    def nothing_waits_beside_free_slots(self):
        assert self.waiting == {
            ticket
            for ticket, request in self.state.requests.items()
            if request.waiting is not None
        }
        if not self.waiting:
            return
        for vm, upstream in self.service.upstreams.by_vm.items():
            if not upstream.serving:
                continue
            health = self.service.upstreams.healths[vm]
            usable = ejection.usable_slots(health, 1, self.now_s)
            assert not usable or upstream.in_flight >= 1


TestDispatching = Dispatching.TestCase
TestDispatching.settings = SETTINGS


@hypothesis.settings(derandomize=True, deadline=None, max_examples=30)
@hypothesis.given(
    flood=st.integers(5, 40),
    seed=st.integers(0, 1000),
    priority=st.sampled_from(admission.CLASSES),
)
def test_teams_take_turns(flood, seed, priority):
    queue = admission.Queue()
    tickets = iter(range(1000))
    for team, count in (('flood', flood), ('a', 3), ('b', 3)):
        for _ in range(count):
            admission.push(
                queue,
                admission.Waiting(next(tickets), team, priority, 9.0, 9.0),
            )
    first = [admission.pop(queue, 0.0).team for _ in range(9)]
    assert collections.Counter(first) == {'flood': 3, 'a': 3, 'b': 3}


def test_urgent_goes_first_until_others_are_due():
    queue = admission.Queue()
    kinds = (configuration.Priority.BULK, configuration.Priority.URGENT)
    for ticket, kind in enumerate(kinds):
        waiting = admission.make_waiting(ticket, 'a', kind, 1.0, 0.0)
        admission.push(queue, waiting)
    early = admission.pop(queue, 0.1)
    assert early.priority is configuration.Priority.URGENT
    admission.push(queue, early)
    due = admission.pop(queue, 0.6)
    assert due.priority is configuration.Priority.BULK
