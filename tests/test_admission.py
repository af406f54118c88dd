"""Tests of admission control, played against a load without a network.

Guards against a burst that fills a pool with more than it can do: no call was
refused, however much work waited, and jobs of all tenants ended late.
"""

import collections
import dataclasses
import random

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from oleanderwood.admission import controller as controllers
from oleanderwood.admission import fair_share
from oleanderwood.admission import figures as figures_
from oleanderwood.admission import gate as gates
from oleanderwood.admission import load as loads_
from oleanderwood import ids
from oleanderwood.tenants import access
from tests import utils_admission as play
from tests import utils_jobs as build

POOL = build.POOL
A, B, C = (ids.TenantId(name) for name in 'abc')
RULES = controllers.Rules({A: 1.0, B: 1.0, C: 1.0}, 3.0)
SLACK = 1e-6

amounts = strategies.floats(0.0, 500.0)


@strategies.composite
def claims_of_tenants(draw):
    """Draw what a few tenants ask for."""
    rows = []
    for number in range(draw(strategies.integers(1, 8))):
        asked = draw(strategies.floats(0.01, 500.0))
        rows.append(
            fair_share.Claim(
                ids.TenantId(f't{number}'),
                asked,
                asked * draw(strategies.floats(0.0, 1.0)),
                draw(strategies.sampled_from([1.0, 2.0, 7.5, 60.0])),
            )
        )
    return rows


def _is_sampled(claim, given):
    """Return whether a tenant gets the least that its estimate needs."""
    return given[claim.tenant] <= fair_share.MIN_SHARE * claim.asked + SLACK


@hypothesis.given(claims_of_tenants(), amounts)
def test_nobody_under_its_share_is_refused_while_another_is_over(claims, rate):
    """Weighted max-min: what one is refused, none gets more of by weight."""
    given = fair_share.divide(claims, rate)
    for claim in claims:
        assert given[claim.tenant] >= claim.assured - SLACK
        assert given[claim.tenant] <= claim.asked + SLACK
        if given[claim.tenant] >= claim.asked - SLACK:
            continue
        own = (given[claim.tenant] - claim.assured) / claim.weight
        for other in claims:
            beyond = (given[other.tenant] - other.assured) / other.weight
            assert beyond <= own + SLACK or _is_sampled(other, given)


@hypothesis.given(claims_of_tenants(), amounts)
def test_assured_work_is_cut_to_one_level_for_its_weight(claims, rate):
    given = fair_share.scale_assured(claims, rate)
    for claim in claims:
        least = fair_share.MIN_SHARE * claim.asked
        assert given[claim.tenant] <= max(claim.assured, least) + SLACK
        if given[claim.tenant] >= claim.assured - SLACK:
            continue
        own = given[claim.tenant] / claim.weight
        for other in claims:
            level = given[other.tenant] / other.weight
            assert level <= own + SLACK or _is_sampled(other, given)


@pytest.mark.parametrize(
    'divide', [fair_share.divide, fair_share.scale_assured]
)
@hypothesis.given(claims=claims_of_tenants(), rate=amounts)
def test_no_more_is_given_than_there_is_and_nothing_is_left(
    divide, claims, rate
):
    given = divide(claims, rate)
    least = divide(claims, 0.0)
    total = sum(given.values())
    assert total <= max(rate, sum(least.values())) + SLACK
    most = divide(claims, 1e9)
    assert total >= min(rate, sum(most.values())) - SLACK


def _figures(number=1, term=1, shares=None, salt='s', **fields):
    row = figures_.PoolFigures(0.5, 2.0, shares or {}, **fields)
    return figures_.Figures(term, number, 1000.0, salt, {POOL: row})


def _names(count, seed=1):
    rng = random.Random(seed)
    return [ids.JobId(f'{rng.getrandbits(64):016x}') for _ in range(count)]


def _admits(gate, job, now_s=0.5, tenant=A, pool=POOL):
    outcome = gates.decide(gate, pool, tenant, job, now_s)
    return isinstance(outcome, gates.Admitted)


def test_all_servers_decide_alike_and_retries_change_nothing():
    gates_ = [gates.Gate(), gates.Gate()]
    for gate in gates_:
        gates.receive(gate, _figures(shares={A: 0.3}), 0.0)
    jobs = _names(2000)
    admitted = [job for job in jobs if _admits(gates_[0], job, 0.1)]
    assert [job for job in jobs if _admits(gates_[1], job, 0.9)] == admitted
    assert 0.27 < len(admitted) / len(jobs) < 0.33


def test_another_salt_samples_other_jobs():
    """Callers cannot choose ids that pass."""
    jobs = _names(2000)
    chosen = [job for job in jobs if gates.position('s', job) < 0.1]
    passing = [job for job in chosen if gates.position('t', job) < 0.1]
    assert len(passing) < len(chosen) / 4


def test_pools_and_tenants_without_figures_are_admitted():
    gate = gates.Gate()
    (job,) = _names(1)
    assert _admits(gate, job)
    gates.receive(gate, _figures(shares={A: 0.0}), 0.0)
    assert not _admits(gate, job)
    assert _admits(gate, job, tenant=B)
    assert _admits(gate, job, pool=ids.ServiceId('other'))


def test_old_figures_expire():
    """A server that the leader cannot reach admits all after a second."""
    gate = gates.Gate()
    gates.receive(gate, _figures(shares={A: 0.0}), 10.0)
    (job,) = _names(1)
    assert not _admits(gate, job, 10.99)
    assert _admits(gate, job, 11.0)


@pytest.mark.parametrize(
    ('term', 'number', 'least_term', 'taken'),
    [(2, 9, 0, False), (3, 5, 0, False), (3, 6, 0, True), (4, 1, 0, True)]
    + [(3, 6, 4, False)],
)
def test_figures_of_a_deposed_leader_are_ignored(
    term, number, least_term, taken
):
    gate = gates.Gate()
    gates.receive(gate, _figures(5, term=3), 0.0)
    figures = _figures(number, term=term)
    assert gates.receive(gate, figures, 0.1, least_term) == taken


def test_refusal_tells_when_to_retry_and_who_holds_the_pool():
    """Those of which least is admitted come back last, at twice the time."""
    gate = gates.Gate()
    shares = {A: 0.0, B: 0.5}
    gates.receive(gate, _figures(shares=shares, holder=C), 0.0)
    job = next(job for job in _names(50) if gates.position('s', job) > 0.5)
    largest = gates.decide(gate, POOL, A, job, 0.1)
    smaller = gates.decide(gate, POOL, B, job, 0.1)
    assert (largest.retry_after_s, smaller.retry_after_s) == (4, 3)
    assert (largest.holder, largest.wait_s) == (C, 0.5)
    assert largest.why is gates.Why.OVER_SHARE
    late = _figures(2, shares=shares, too_late=True)
    gates.receive(gate, late, 0.1)
    assert gates.decide(gate, POOL, A, job, 0.2).why is gates.Why.TOO_LATE


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(0.01, 0.7), strategies.floats(0.05, 1.0)
        ),
        min_size=1,
        max_size=12,
    ),
    strategies.integers(0, 10_000),
)
def test_admitted_jobs_are_below_the_highest_share_in_force(steps, seed):
    """Whatever server decides, with whichever figures it has received."""
    rng = random.Random(seed)
    servers = [gates.Gate(), gates.Gate(), gates.Gate()]
    jobs = _names(60, seed)
    now_s = 0.0
    published = []
    for number, (pause_s, share) in enumerate(steps):
        now_s += pause_s
        published.append((now_s, share))
        figures = _figures(number, shares={A: share})
        gates.receive(servers[0], figures, now_s)
        for gate in servers[1:]:
            if rng.random() < 0.5:
                gates.receive(gate, figures, now_s)
        recent = [row for at_s, row in published if now_s - at_s < 1.0]
        for gate in servers:
            if gates.in_force(gate, now_s) is None:
                continue
            admitted = {job for job in jobs if _admits(gate, job, now_s)}
            below = {
                job for job in jobs if gates.position('s', job) < max(recent)
            }
            assert admitted <= below


@pytest.mark.parametrize(
    ('fields', 'work'),
    [
        ({'is_long_running': True}, {}),
        ({'uses_leftover': True}, {}),
        ({}, {'repeats': 3}),
    ],
)
def test_jobs_that_outlast_a_burst_are_exempt(fields, work):
    job = build.job(build.step(), build.step(**fields), **work)
    assert gates.is_exempt(job.work)
    assert not gates.is_exempt(build.job(build.step()).work)


def _load(**fields):
    values = {
        'cores': 100.0,
        'later_cores': 100.0,
        'later_s': 1.5,
        'horizon_s': 2.0,
        'is_waiting': True,
    }
    return loads_.PoolLoad(**{**values, **fields})


def _arrivals(tenant, count, core_s=10.0, **fields):
    fields = {'age_s': 0.5, **fields}
    return [loads_.Arrival(POOL, tenant, core_s, **fields)] * count


def _decide(controller, load, arrivals, now_s=0.0):
    decision = controllers.decide(
        controller, {POOL: load} if load else {}, arrivals, RULES, now_s
    )
    if decision.figures is None:
        return None
    return decision.figures.pools.get(POOL)


def _controller():
    return controllers.Controller(1, 's')


def test_pool_with_room_is_never_limited():
    """No job is refused while a worker has room for it."""
    load = _load(accepted_core_s=500.0, is_waiting=False)
    assert _decide(_controller(), load, _arrivals(A, 40)) is None


def test_pool_that_can_do_its_work_is_not_limited():
    load = _load(accepted_core_s=100.0)
    assert _decide(_controller(), load, _arrivals(A, 5)) is None


def test_machines_granted_later_count_from_then_on():
    """Part of the fleet that is on its way admits more, or less."""
    load = _load(accepted_core_s=230.0, later_cores=200.0)
    assert _decide(_controller(), load, _arrivals(A, 1)) is None
    load = _load(accepted_core_s=195.0, later_cores=0.0)
    assert _decide(_controller(), load, _arrivals(A, 9)) is not None


def test_large_tenant_is_cut_and_small_ones_are_not():
    rows = _arrivals(A, 40) + _arrivals(B, 1) + _arrivals(C, 1)
    figures = _decide(_controller(), _load(accepted_core_s=190.0), rows)
    assert set(figures.shares) == {A}
    assert figures.shares[A] < 0.2 and not figures.too_late


def test_two_jobs_by_chance_do_not_exceed_an_assured_rate():
    """A small tenant sends two jobs within some second of a calm minute."""
    rows = _arrivals(A, 40) + _arrivals(B, 2)
    figures = _decide(_controller(), _load(accepted_core_s=190.0), rows)
    assert set(figures.shares) == {A}


def test_jobs_without_a_tenant_count_but_have_no_share():
    rows = _arrivals(access.NO_TENANT, 40) + _arrivals(A, 9)
    figures = _decide(_controller(), _load(accepted_core_s=120.0), rows)
    assert set(figures.shares) == {A}


def test_assured_jobs_are_refused_only_if_they_would_end_too_late():
    rows = _arrivals(A, 1) + _arrivals(B, 1) + _arrivals(C, 1)
    busy = _load(accepted_core_s=400.0, assured_core_s=400.0)
    assert _decide(_controller(), busy, rows) is None
    late = _load(accepted_core_s=900.0, assured_core_s=900.0)
    figures = _decide(_controller(), late, rows)
    assert figures.too_late and len(set(figures.shares.values())) == 1


def test_nobody_is_refused_as_too_late_while_machines_are_on_their_way():
    """Guards against refusals that hide the demand of a growing pool.

    A pool that has a few of its machines yet counted as 8 s behind, all
    customers were refused, and without their calls it was granted no more.
    """
    arrivals = _arrivals(A, 30) + _arrivals(B, 30)
    late = _load(accepted_core_s=1e4, assured_core_s=1e4)
    growing = dataclasses.replace(late, awaits_machines=True)
    assert _decide(_controller(), late, arrivals).too_late
    figures = _decide(_controller(), growing, arrivals)
    assert figures is None or not figures.too_late


def test_limit_for_lateness_ends_at_half_of_its_threshold():
    controller = _controller()
    rows = _arrivals(A, 1)
    waits = [(900.0, True), (400.0, True), (150.0, False)]
    for number, (core_s, too_late) in enumerate(waits):
        load = _load(accepted_core_s=core_s, assured_core_s=core_s)
        _decide(controller, load, rows, number * 0.25)
        limit = controller.limits.get(POOL)
        assert (limit is not None and limit.too_late) == too_late


def test_share_at_most_doubles_and_the_end_is_sent_once():
    controller = _controller()
    _decide(controller, _load(accepted_core_s=300.0), _arrivals(A, 40))
    shares = [controller.limits[POOL].shares[A]]
    sent = []
    for number in range(1, 9):
        calm = _load(is_waiting=False)
        sent.append(_decide(controller, calm, [], number * 0.25))
        if sent[-1] is None:
            break
        shares.append(sent[-1].shares[A])
    assert shares[0] <= 0.1
    assert all(
        later <= 2 * before + 0.001
        for before, later in zip(shares, shares[1:], strict=False)
    )
    last = controller.published[-1]
    assert not last.pools and not controller.limits
    assert controller.number == len(shares) + 1
    again = controllers.decide(controller, {}, [], RULES, 9.0)
    assert again.figures is None


def test_share_at_most_doubles_while_tasks_wait():
    """Even if what can be taken is far more than what was sent."""
    controller = _controller()
    _decide(controller, _load(accepted_core_s=300.0), _arrivals(A, 40))
    before = controller.limits[POOL].shares[A]
    controller.limits[POOL].refused.clear()
    relieved = _load(accepted_core_s=1.0)
    _decide(controller, relieved, _arrivals(A, 1), 0.25)
    assert before < controller.limits[POOL].shares[A] <= 2 * before + 0.001


def test_pool_without_a_word_of_its_load_is_opened():
    """A removed pool stays limited nowhere."""
    controller = _controller()
    _decide(controller, _load(accepted_core_s=300.0), _arrivals(A, 40))
    decision = controllers.decide(controller, {}, [], RULES, 0.25)
    assert decision.figures.pools == {} and decision.opened == (POOL,)


def test_demand_is_estimated_from_the_admitted_sample():
    """Without that, a limit would end as soon as it takes effect."""
    controller = _controller()
    _decide(controller, _load(accepted_core_s=300.0), _arrivals(A, 40))
    share = controller.limits[POOL].shares[A]
    jobs = _names(4000)
    admitted = [job for job in jobs if gates.position('s', job) < share]
    rows = [
        controllers.arrival(controller, POOL, A, job, 10.0, 0.5, 0.6)
        for job in admitted
    ]
    found = loads_.offers(rows, (POOL,), {}, 1.0)[POOL][A]
    assert found.jobs_per_s == pytest.approx(4000, rel=0.25)


def test_retries_that_a_higher_share_admits_are_no_new_demand():
    """Otherwise the retries of one burst would look like the next."""
    controller = _controller()
    for number, share in enumerate((0.1, 0.4)):
        row = figures_.PoolFigures(0.0, 0.0, {A: share})
        controllers._publish(controller, {POOL: row}, number * 0.25)
    retries = [
        job for job in _names(400) if 0.1 <= gates.position('s', job) < 0.4
    ]
    rows = [
        controllers.arrival(controller, POOL, A, job, 10.0, 0.5, 0.6)
        for job in retries
    ]
    assert loads_.offers(rows, (POOL,), {}, 1.0)[POOL][A].jobs_per_s == 0


def test_figures_stay_small():
    """Each server gets them four times a second, within its 6 KB/s."""
    rows = {ids.TenantId(f'tenant-{n:02}'): 0.123 for n in range(40)}
    text = msgspec.json.encode(_figures(shares=rows, salt='0' * 32))
    assert len(text) < 1500


SEEDS = range(1, 9)


def _play(rates, begin_s, end_s, tenants, admits=True):
    """Return the callers of a span, over several days."""
    rows = []
    for seed in SEEDS:
        served = play.Play(rates, seed=seed, admits=admits).run()
        assert all(
            caller.ended_s is not None
            for caller in served.callers
            if caller.accepted_s is not None
        )
        rows += served.between(begin_s, end_s, tenants)
    return rows


def _value(callers):
    """Return what callers got: all in time, a fourteenth if late."""
    points = sum(
        1.0 if row.lateness <= 1.0 else (row.lateness <= 3.0) / 14
        for row in callers
    )
    return points / len(callers)


@pytest.fixture(scope='module')
def large():
    """Play a large tenant that sends fourteen times its usual load."""
    rates = play.burst((play.LARGE,), 14)
    rows = {}
    for admits in (False, True):
        rows[admits] = _play(rates, 0.0, 16.0, tuple(play.WEIGHTS), admits)
    return rows


def _of(rows, begin_s, end_s, tenants):
    return [
        row
        for row in rows
        if begin_s <= row.first_s < end_s and row.tenant in tenants
    ]


def test_small_tenants_are_served_beside_a_large_ones_burst(large):
    """As on a day of normal load, where 98% end in time."""
    before = _of(large[True], 0.0, 4.0, play.SMALL)
    during = _of(large[True], 4.0, 10.0, play.SMALL)
    without = _of(large[False], 4.0, 10.0, play.SMALL)
    assert play.share_in_time(before) >= 0.95
    assert play.share_in_time(during) >= 0.92
    assert play.share_in_time(during) > play.share_in_time(without) + 0.05


def test_burst_is_refused_at_once_and_more_ends_in_time(large):
    """Work that ends late is of little use to callers."""
    done = {}
    for admits, rows in large.items():
        done[admits] = sum(
            row.core_s
            for row in rows
            if row.ended_s is not None
            and row.lateness <= 1.0
            and 5.0 <= row.ended_s < 11.0
        )
    assert done[True] > 1.08 * done[False]
    burst = _of(large[True], 4.0, 10.0, (play.LARGE,))
    assert sum(row.accepted_s is None for row in burst) > len(burst) / 2


def test_few_calls_of_small_tenants_are_refused(large):
    during = _of(large[True], 4.0, 10.0, play.SMALL)
    refused = sum(bool(row.refusals) for row in during)
    assert refused <= 0.12 * len(during)


def test_new_callers_are_served_again_after_the_load(large):
    """Three seconds after it, nearly as on a day without a burst."""
    rows = _of(large[True], 13.0, 16.0, tuple(play.WEIGHTS))
    assert play.share_in_time(rows) >= 0.85
    assert sum(row.accepted_s is None for row in rows) <= 0.02 * len(rows)


@pytest.mark.parametrize('factor', [2, 4])
def test_all_tenants_sending_more_get_as_much_as_before(factor):
    """Jobs within assured rates are not refused for each other."""
    tenants = tuple(play.WEIGHTS)
    rates = play.burst(tenants, factor)
    rows = _play(rates, 4.0, 10.0, tenants)
    without = _play(rates, 4.0, 10.0, tenants, admits=False)
    assert _value(rows) >= 0.97 * _value(without)
    shares = collections.Counter(row.tenant for row in rows)
    in_time = collections.Counter(
        row.tenant for row in rows if row.lateness <= 1.0
    )
    worst = min(in_time[name] / shares[name] for name in shares)
    assert worst >= 0.2


def test_calm_days_are_as_without_admission():
    """Chance bursts of a pool at 0.6 of its load are no reason to refuse."""
    tenants = tuple(play.WEIGHTS)
    calm = play.burst((), 1)
    rows = _play(calm, 0.0, 16.0, tenants)
    without = _play(calm, 0.0, 16.0, tenants, admits=False)
    in_time = play.share_in_time(rows)
    assert in_time >= play.share_in_time(without) - 0.002
    assert sum(bool(row.refusals) for row in rows) <= 0.005 * len(rows)
    assert all(row.accepted_s is not None for row in rows)
