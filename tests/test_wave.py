"""Tests of wave, as properties of whole waves and of single batches."""

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from measure import waves as runs
from oleanderwood import batch as batches
from oleanderwood import budget
from oleanderwood import buffer
from oleanderwood import configuration
from oleanderwood import failure_estimate
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import reserve
from oleanderwood import wave
from oleanderwood import wave_estimate
from tests import utils_decisions

SEEDS = strategies.integers(0, 10_000)
EXAMPLES = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=15
)
TIGHT_BUDGET_S = 700.0
MAX_EVENTS = 300


def run(drawn, seed, faulty):
    faults = runs.draw_faults(drawn, seed) if faulty else runs.Faults()
    return runs.run(drawn, seed, faults, runs.this_version, MAX_EVENTS)


def check_minimum(seed):
    result = run(utils_decisions.small_fleet(seed), seed, True)
    assert result.breaches == 0


def check_reserve(seed):
    result = run(utils_decisions.small_fleet(seed), seed, True)
    assert result.unsafe == 0


def check_once(seed):
    drawn = utils_decisions.small_fleet(seed)
    result = run(drawn, seed, True)
    assert result.twice == 0
    assert result.done + result.failed <= len(drawn.rows)


def check_quarter(seed):
    drawn = utils_decisions.small_fleet(seed, TIGHT_BUDGET_S)
    assert run(drawn, seed, False).overspent == 0


def feasible(drawn):
    """Say whether the fleet keeps its promises with the VMs out."""
    census = reserve.take_census(drawn.pools, drawn.rows, drawn.sites)
    return reserve.holds(census, drawn.absent)


def check_progress(seed):
    drawn = utils_decisions.small_fleet(seed)
    if not feasible(drawn):
        return
    result = run(drawn, seed, False)
    assert result.left == 0
    assert result.done == len(drawn.rows)


def estimate(drawn):
    return wave_estimate.estimate(
        drawn.wave,
        drawn.pools,
        drawn.rows,
        0.0,
        drawn.weights,
        wave.Conditions(drawn.sites),
    )


def check_monotone(seed):
    drawn = utils_decisions.small_fleet(seed)
    if not feasible(drawn):
        return
    richer = utils_decisions.with_spare(drawn)
    # The new VM is no target, so the work is the same.
    names = [one.name for one in drawn.pools]
    plan = configuration.Wave(name='w', pools=tuple(names))
    before = estimate(_with_wave(drawn, plan))
    after = estimate(_with_wave(richer, plan))
    assert before.end_s is not None
    assert after.end_s is not None
    assert after.end_s <= before.end_s


def _with_wave(drawn, plan):
    return type(drawn)(**{**vars(drawn), 'wave': plan})


CHECKS = (
    check_minimum,
    check_reserve,
    check_once,
    check_quarter,
    check_progress,
    check_monotone,
)


@pytest.mark.parametrize('check', CHECKS)
def test_holds(check):
    @EXAMPLES
    @hypothesis.given(SEEDS)
    def holds(seed):
        check(seed)

    holds()


def _take_all(census, row, quarter):
    reserve.take(census, row.vm)


def _take_if_asked(census, vm):
    reserve.take(census, vm)
    return True


def _forget(census, targets, finished):
    return ORIGINAL_LEFT_OF(census, targets, ())


def _hoard(plan, loan):
    """Lend only while there are few VMs."""
    if len(plan.census.rows) % 2:
        ORIGINAL_LEND(plan, loan)


ORIGINAL_LEFT_OF = batches.left_of
ORIGINAL_LEND = buffer._lend

DEFECTS = (
    (check_minimum, batches, '_take', _take_all),
    (check_reserve, reserve, 'try_take', _take_if_asked),
    (check_once, batches, 'left_of', _forget),
    (check_quarter, budget, 'affords', lambda *arguments: True),
    (check_progress, buffer, '_lend', lambda plan, loan: None),
    (check_monotone, buffer, '_lend', _hoard),
)


@pytest.mark.parametrize(('check', 'module', 'name', 'defect'), DEFECTS)
def test_planted_defect_is_caught(monkeypatch, check, module, name, defect):
    monkeypatch.setattr(module, name, defect)
    with pytest.raises(AssertionError):
        for seed in range(20):
            check(seed)


def test_takes_no_more_than_the_minimum_allows():
    pools = (utils_decisions.pool(size=4, min_up=3, survives='nothing'),)
    rows, sites = utils_decisions.fleet_of(('p', 4))
    plan = configuration.Wave(name='w', pools=('p',))
    progress = wave.begin(plan, rows, 0.0)
    batch = wave.next_batch(
        plan,
        progress,
        pools,
        rows,
        0.0,
        utils_decisions.WEIGHTS,
        wave.Conditions(sites),
    )
    assert len(batch.take) == 1


def test_vm_that_was_out_for_no_time_still_counts_as_out():
    outcome = failure_estimate.Outcome(ids.VmId('v'), 5.0, 5.0, False)
    assert wave.typical_s([outcome]) == wave.SHORTEST_VM_TIME_S


def _batch(pools, rows, sites, outcomes=(), now_s=0.0, **plan):
    names = tuple(one.name for one in pools)
    described = configuration.Wave(name='w', pools=names, **plan)
    progress = msgspec.structs.replace(
        wave.begin(described, rows, 0.0), outcomes=tuple(outcomes)
    )
    return wave.next_batch(
        described,
        progress,
        pools,
        rows,
        now_s,
        utils_decisions.WEIGHTS,
        wave.Conditions(sites),
    )


def _successes(count):
    """Make outcomes of VMs that are no targets: they widen the wave."""
    return [
        failure_estimate.Outcome(ids.VmId(f'x{index}'), 0.0, 300.0)
        for index in range(count)
    ]


def test_a_whole_rack_goes_at_once_where_the_reserve_holds_it():
    names = ('p', 'q', 'r', 's')
    pools = [
        utils_decisions.pool(name, 3, 1, survives='rack') for name in names
    ]
    rows, sites = utils_decisions.fleet_of(*[(n, 1) for n in names * 3])
    sites = {
        vm: site._replace(rack=ids.Rack(f'r{index // 4}'))
        for index, (vm, site) in enumerate(sites.items())
    }
    chosen = _batch(pools, rows, sites, _successes(20))
    assert {sites[vm].rack for vm in chosen.take} == {'r0'}
    assert len(chosen.take) == 4


def test_a_wave_starts_with_few_vms():
    pools = [utils_decisions.pool(size=9, min_up=1, survives='nothing')]
    rows, sites = utils_decisions.fleet_of(('p', 9))
    assert len(_batch(pools, rows, sites).take) == 2
    assert len(_batch(pools, rows, sites, _successes(2)).take) == 6


def test_broken_vms_count_against_the_budget():
    pools = [utils_decisions.pool(size=3, min_up=2, survives='nothing')]
    rows, sites = utils_decisions.fleet_of(('p', 3))
    rows[0] = utils_decisions.row('p-0', 'p', fleet.VmState.BROKEN)
    chosen = _batch(pools, rows, sites)
    assert chosen.take == ()
    assert chosen.phase is wave.Phase.RUNNING
    assert chosen.loans == (buffer.Loan(ids.PoolId('p'), 1),)
    reasons = {item.vm: item.reason for item in chosen.blocked}
    assert reasons['p-0'] is batches.BlockReason.BROKEN
    assert reasons['p-1'] is batches.BlockReason.MIN_UP


@pytest.mark.parametrize(
    ('now_s', 'phase'),
    [
        (5 * 3600.0, wave.Phase.QUIET_HOURS),
        (23.5 * 3600.0, wave.Phase.QUIET_HOURS),
        (12 * 3600.0, wave.Phase.RUNNING),
    ],
)
def test_quiet_hours(now_s, phase):
    pools = [utils_decisions.pool(size=3, min_up=1, survives='nothing')]
    rows, sites = utils_decisions.fleet_of(('p', 3))
    spans = ('05:00-07:30', '23:00-01:00')
    chosen = _batch(pools, rows, sites, now_s=now_s, not_between=spans)
    assert chosen.phase is phase
    assert bool(chosen.take) is (phase is wave.Phase.RUNNING)


def test_a_wave_stops_itself_then_probes_with_one_vm():
    pools = [utils_decisions.pool(size=9, min_up=1, survives='nothing')]
    rows, sites = utils_decisions.fleet_of(('p', 9))
    failures = [
        failure_estimate.Outcome(ids.VmId(f'p-{index}'), 0.0, 300.0, True)
        for index in range(3)
    ]
    stopped = _batch(pools, rows, sites, failures, 400.0)
    assert (stopped.phase, stopped.take) == (wave.Phase.STOPPED, ())
    assert 'expected to fail' in stopped.reason
    probing = _batch(pools, rows, sites, failures, 1000.0)
    assert probing.phase is wave.Phase.PROBING
    assert len(probing.take) == 1


def test_a_late_wave_asks_for_wider_loans():
    pools = [utils_decisions.pool(size=4, min_up=3, survives='nothing')]
    rows, sites = utils_decisions.fleet_of(('p', 4))
    relaxed = _batch(pools, rows, sites, deadline_s=10_000.0)
    late = _batch(pools, rows, sites, deadline_s=400.0)
    assert relaxed.loans == ()
    assert late.loans == (buffer.Loan(ids.PoolId('p'), 1),)
    assert not late.meets_deadline


def test_load_by_time_of_day_raises_the_minimum():
    pools = [utils_decisions.pool(size=4, min_up=1, survives='nothing')]
    rows, sites = utils_decisions.fleet_of(('p', 4))
    plan = configuration.Wave(name='w', pools=('p',))
    shares = tuple(1.0 if hour == 8 else 0.5 for hour in range(24))
    load = budget.HourlyLoad(ids.PoolId('p'), shares)
    conditions = wave.Conditions(sites, loads={ids.PoolId('p'): load})
    taken = [
        wave.next_batch(
            plan,
            wave.begin(plan, rows, now_s),
            pools,
            rows,
            now_s,
            utils_decisions.WEIGHTS,
            conditions,
        ).take
        for now_s in (3 * 3600.0, 7.9 * 3600.0)
    ]
    assert [len(take) for take in taken] == [2, 0]


def test_waves_over_the_same_pool_share_its_budget():
    pools = [utils_decisions.pool(size=4, min_up=3, survives='nothing')]
    rows, sites = utils_decisions.fleet_of(('p', 4))
    plans = [
        configuration.Wave(name=name, pools=('p',), deadline_s=deadline_s)
        for name, deadline_s in (('late', 9000.0), ('soon', 3000.0))
    ]
    chosen = wave.next_batches(
        [(plan, wave.begin(plan, rows, 0.0)) for plan in plans],
        pools,
        rows,
        0.0,
        utils_decisions.WEIGHTS,
        wave.Conditions(sites),
    )
    assert [len(batch.take) for batch in chosen] == [0, 1]


def test_a_wave_that_cannot_end_says_so_when_planned():
    pools = [utils_decisions.pool(size=3, min_up=3, survives='nothing')]
    rows, sites = utils_decisions.fleet_of(('p', 3))
    plan = configuration.Wave(name='w', pools=('p',))
    stuck = wave_estimate.estimate(
        plan,
        pools,
        rows,
        0.0,
        utils_decisions.WEIGHTS,
        wave.Conditions(sites),
    )
    assert stuck.end_s is None
    assert not stuck.meets_deadline
