"""A job waits for a label that only idle machines of another pool have.

What callers see: the job is accepted and stays open for good, while machines
that could run it are idle. Order of events: the one machine of its pool that
could run it leaves for another pool; the pool asks for a machine with the
label; each of the others has a machine that could go, but keeps it, as all of
its first machines are held for a first burst that never comes; or gives only
those that have been idle longest, which lack the label.

Or machines with the label come that the advice refuses for the step. They went
again as idle and came again; or, where two pools lacked the same label, each
kept machines that only the other could use.

The scenes bring the end of that order about: the first without advice, the
second with it, where the pool has a machine with the label that the advice
doesn't name.
"""

import dataclasses
import types

import curio
import pytest

from emulator import advice
from emulator import features
from emulator import fleet as fleets
from oleanderwood.capacity import demand
from oleanderwood.capacity import rebalancing
from oleanderwood import ids
from oleanderwood.leading import lacks
from oleanderwood.pools import advised
from oleanderwood.pools import shortage
from tests import utils_advice
from tests import utils_jobs
from tests import utils_leading
from tests import utils_restarts
from tests import utils_takeover as build

NOW_S = 100.0
MOVE_S = 1.5
OTHER = ids.ServiceId('finals')


def _member(name, label, idle_s):
    worker = utils_jobs.worker(f'w-{name}')
    worker.idle_since_s = NOW_S - idle_s
    return rebalancing.Member(name, 8.0, worker, labels=(label,))


def _labelled_moves(members, first_size, has_bursts=True):
    """Return which machines go to a pool that lacks the label a."""
    lacking = rebalancing.PoolView(utils_jobs.POOL, [_member('m1', 'b', 0.0)])
    lacking.lacks_labels.add('a')
    other = rebalancing.PoolView(OTHER, members, first_size=first_size)
    history = demand.ArrivalHistory()
    if has_bursts:
        history.pools = frozenset((utils_jobs.POOL, OTHER))
    decision = rebalancing.decide([lacking, other], {}, history, MOVE_S, NOW_S)
    return [move.machine for move in decision.moves if move.why == 'labelled']


def test_idle_machine_with_the_label_comes_where_no_burst_is_held_for():
    members = [_member('m2', 'b', 9.0), _member('m3', 'a', 10.0)]
    assert _labelled_moves(members, 2, has_bursts=False) == ['m3']


def test_pool_before_its_first_burst_gives_the_label_that_another_lacks():
    """It kept all its first machines, and a job waited for one for good."""
    members = [_member('m2', 'b', 9.0), _member('m3', 'a', 10.0)]
    assert _labelled_moves(members, 2) == ['m3']


@pytest.mark.parametrize('has_bursts', [False, True])
def test_label_counts_before_the_time_that_a_machine_has_been_idle(has_bursts):
    """A pool that can spare one gave none, as another was idle for longer."""
    members = [_member('m2', 'b', 10.0), _member('m3', 'a', 9.0)]
    moves = _labelled_moves(members, 1, has_bursts)
    assert moves == ['m3']


def test_pool_before_its_first_burst_gives_a_machine_that_another_step_lacks():
    """A step that needs no label, but more than its pool, waited for good."""
    lacking = rebalancing.PoolView(utils_jobs.POOL, [_member('m1', 'b', 0.0)])
    lacks.record(lacking, '', frozenset(('m2',)))
    members = [_member('m2', 'b', 9.0), _member('m3', 'a', 8.0)]
    other = rebalancing.PoolView(OTHER, members, first_size=2)
    history = demand.ArrivalHistory(pools=frozenset((utils_jobs.POOL, OTHER)))
    decision = rebalancing.decide([lacking, other], {}, history, MOVE_S, NOW_S)
    assert [move.machine for move in decision.moves] == ['m3']


def _pool(service, members, refused=()):
    """Build a pool that lacks the label a."""
    pool = rebalancing.PoolView(service, members)
    pool.lacks_labels.add('a')
    pool.unsuitable['a'] = frozenset(refused)
    return pool


def _moves(*pools):
    history = demand.ArrivalHistory()
    decision = rebalancing.decide(pools, {}, history, MOVE_S, NOW_S)
    return [(move.machine, move.target) for move in decision.moves]


def test_machine_that_the_advice_refused_for_the_step_does_not_come_again():
    """It came and went each second, and the one that would do never came."""
    lacking = _pool(utils_jobs.POOL, [_member('m1', 'b', 0.0)], ['m2'])
    members = [_member('m2', 'a', 10.0), _member('m3', 'a', 9.0)]
    other = rebalancing.PoolView(OTHER, members)
    assert _moves(lacking, other) == [('m3', utils_jobs.POOL)]


def test_two_pools_exchange_machines_that_the_advice_refused_to_each():
    """Each pool kept all its machines with the label that it lacked."""
    first = _pool(utils_jobs.POOL, [_member('m1', 'a', 9.0)], ['m1'])
    second = _pool(OTHER, [_member('m2', 'a', 9.0)], ['m2'])
    assert _moves(first, second) == [
        ('m2', utils_jobs.POOL),
        ('m1', OTHER),
    ]


def test_label_counts_as_lacked_by_each_step_with_its_own_refusals():
    """A machine is useless for a label only if all its steps refuse it."""
    view = rebalancing.PoolView(utils_jobs.POOL, [])
    lacks.record(view, 'a', frozenset(('m1', 'm2')))
    lacks.record(view, 'a', frozenset(('m2', 'm3')))
    assert view.unsuitable == {'a': frozenset(('m2',))}


def test_labels_that_a_pool_lacks_are_logged_when_they_change(monkeypatch):
    """A pool with enough machines that lacked a label was silent."""
    events = utils_leading.record_events(monkeypatch)
    fleet = types.SimpleNamespace(logged_lacks={})
    leader = types.SimpleNamespace(fleet=fleet)
    view = _pool(utils_jobs.POOL, [])
    idle = rebalancing.PoolView(OTHER, [])
    for _ in range(2):
        lacks.log_changes(leader, [view, idle])
    view.lacks_labels.clear()
    lacks.log_changes(leader, [view, idle])
    assert events == [
        ('fleet', 'lacks', {'labels': {utils_jobs.POOL: ['a']}}),
        ('fleet', 'lacks', {'labels': {}}),
    ]


def test_refusal_counts_for_a_while_and_until_the_advice_allows_the_machine():
    ledger = utils_jobs.ledger_with(utils_jobs.job(utils_jobs.step()))
    group = utils_jobs.task(ledger).group
    group.tickets = {'w2': 'ticket'}
    advised.record_refusals(group, [('m1', 'w1'), ('m2', 'w2')], NOW_S)
    assert advised.refused_machines(group, NOW_S) == {'m1'}
    later_s = NOW_S + advised.REFUSAL_MEMORY_S
    assert not advised.refused_machines(group, later_s)
    group.tickets = {'w3': 'ticket'}
    advised.record_refusals(group, [('m1', 'w3')], NOW_S)
    assert not advised.refused_machines(group, NOW_S)


def test_expired_or_missing_tickets_do_not_tell_what_a_pool_lacks():
    """The lack came and went with each question, and a machine in vain."""
    ledger = utils_jobs.ledger_with(utils_jobs.job(utils_jobs.step(label='a')))
    group = utils_jobs.task(ledger).group
    good = utils_jobs.worker('w1', labels=('a',))
    refused = utils_jobs.worker('w2', labels=('a',))
    group.asked, group.tickets = frozenset(('w1', 'w2')), {'w1': 'ticket'}
    machines = frozenset((refused.entry.machine,))
    for tickets in (group.tickets, None):
        group.tickets = tickets
        assert not _is_lacked(group, [good, refused], machines)
        assert _is_lacked(group, [refused], machines)
    restarted = utils_jobs.worker('w1b', labels=('a',))
    group.tickets = {'w1': 'ticket'}
    assert not _is_lacked(group, [restarted], machines)


def _is_lacked(group, pool, refused):
    candidates = shortage.idle_capacity(pool)
    return shortage.fits_nowhere(group, candidates, refused)


def test_job_ends_though_only_another_idle_pool_has_its_label():
    """The other pool was before its first burst and kept its machines."""

    async def story(scene):
        with_label = [
            machine.pool
            for machine in scene.fleet.machines.values()
            if machine.rack == 'r0'
        ]
        assert with_label == [OTHER]
        step = {**build.step(2, 1000, 600), 'required_label': 'r0'}
        await build.submit_job(scene, build.leader(scene), step)

    plan = dataclasses.replace(build.TWO_POOLS, machines_a_pool=2)
    result = build.play(story, plan)
    assert not result.unfinished and not result.breaches


def test_gang_that_is_wider_than_its_pool_ends_beside_an_idle_pool():
    """The other pool was before its first burst and kept its machines."""
    gang = {'gang': True, 'max_per_server': 1}

    async def story(scene):
        step = {**build.step(3, 16000, 600), **gang}
        await build.submit_job(scene, build.leader(scene), step)

    plan = dataclasses.replace(build.TWO_POOLS, machines_a_pool=2)
    result = build.play(story, plan)
    assert not result.unfinished and not result.breaches


ADVISED = dataclasses.replace(
    build.TWO_POOLS,
    machines_a_pool=4,
    features=(features.Feature.LABELS, features.Feature.ADVICE),
    tells_births=True,
)
"""Machines m1 to m4 in the first pool, m5 to m8 in the second; the even ones
have the label a."""

JOB_NUMBER = 3
"""Of a job for which advice names m2, m6 and m8, of those with the label."""


async def _move(scene, machine, pool):
    """Move a machine to a pool, as an order does."""
    await fleets.end_life(scene.fleet, machine, 'order')
    machine.pool, machine.state = pool, 'moving'
    await curio.sleep(fleets.MOVE_S)
    await fleets.begin_life(scene.fleet, machine)


def test_job_ends_though_the_advised_machine_with_its_label_has_moved():
    """The machine with the label that was left is none that advice names."""

    async def story(scene):
        await utils_advice.need_advice(scene, ADVISED)
        machines = scene.fleet.machines
        scene.jobs = JOB_NUMBER - 1
        step = {**build.step(2, 1000, 2000), 'required_label': 'a'}
        name = f'{JOB_NUMBER:016x}.0.0'
        assert [
            row.name
            for row in machines.values()
            if row.kind == 'a' and advice.is_good(name, row.executor.name)
        ] == ['m2', 'm6', 'm8']
        begun = await utils_restarts.start_job(scene, step)
        assert set(begun) == {machines['m2'].address}
        await utils_restarts.restart(scene, machines['m2'].address)
        await curio.spawn(_move, scene, machines['m7'], 'drafts', daemon=True)
        await _move(scene, machines['m2'], 'finals')

    result = build.play(story, ADVISED)
    assert not result.unfinished and not result.breaches
