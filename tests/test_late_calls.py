"""Calls of the same leader that are carried out late are refused.

Guards against tasks that run again after they are done, or on two executors at
once. A call to an executor gets no answer; the executor restarts under its id,
and its next incarnation answers the leader; seconds later the call is carried
out there. When all calls of a term had the same fence, that incarnation
accepted it: a late renewal discarded ends that nobody had read, or extended
the lease of everything that ran there. See also `test_order_in_the_next_life`.
"""

import curio
import hypothesis
from hypothesis import strategies
import pytest

from oleanderwood import ids
from oleanderwood.leading import roles
from oleanderwood.leading import state as states
from oleanderwood.leading import worker_loop
from oleanderwood.pools import fences
from tests import utils_restarts
from tests import utils_takeover as build

LATE_S = 6.0
RESTART_AFTER_S = 1.5
"""Time from a delayed call to the executor's restart: by then the call has
timed out, and the worker was asked about its run."""


def _leader(scene) -> states.Leader:
    return build.leader(scene).state.leader


def _late_call(
    outcomes, restarts, path, matches=None, step=utils_restarts.LONG
):
    """Carry out one call to a busy executor late.

    :param outcomes: receives the outcome of the late call
    :param restarts: whether the executor restarts meanwhile
    """

    async def scenario(scene):
        late = utils_restarts.delay_one_order(scene, LATE_S, path, matches)
        await build.submit_job(scene, build.leader(scene), step)
        while not late:
            await curio.sleep(0.01)
        (address,) = late
        await curio.sleep(RESTART_AFTER_S)
        if restarts:
            await utils_restarts.restart(scene, address, 0.05)
        late_outcomes = utils_restarts.record_late_outcomes(scene, address)
        await curio.sleep(LATE_S)
        outcomes.extend(late_outcomes)

    return utils_restarts.play(scenario)


@pytest.mark.parametrize('restarts', [False, True])
def test_late_start_is_refused(restarts):
    outcomes = []
    result = _late_call(outcomes, restarts, '/run-start')
    assert outcomes and set(outcomes) == {'fence'}
    assert not result.breaches and not result.unfinished


@pytest.mark.parametrize('restarts', [False, True])
def test_late_renewal_is_refused(restarts):
    outcomes = []
    result = _late_call(
        outcomes, restarts, '/hold', lambda asked: 'deadline_ms' in asked
    )
    assert outcomes and set(outcomes) == {'fence'}
    assert not result.breaches and not result.unfinished


@pytest.mark.parametrize('restarts', [False, True])
def test_late_acknowledgement_is_refused(restarts):
    outcomes = []
    result = _late_call(
        outcomes,
        restarts,
        '/hold',
        lambda asked: asked['last_seen'] > 0,
        build.step(1, 16000, utils_restarts.BRIEF_MS),
    )
    assert outcomes and set(outcomes) == {'fence'}
    assert not result.breaches and not result.unfinished


def test_start_that_a_later_call_overtakes_is_sent_again():
    seen = []

    async def scenario(scene):
        leader = _leader(scene)
        for address in utils_restarts.executor_addresses(scene):
            _overtake(scene, leader, address, seen)
        await build.submit_job(scene, build.leader(scene), utils_restarts.LONG)
        await curio.sleep(1.0)
        assert not leader.deposed

    result = utils_restarts.play(scenario)
    assert seen[:2] == [409, 200]
    assert not result.breaches and not result.unfinished


def _overtake(scene, leader, address, seen) -> None:
    """Send a call with a higher fence ahead of the first start."""
    handler = scene.network.handlers[address]
    (worker,) = [
        row for row in leader.workers.values() if row.entry.address == address
    ]

    async def handle(source, method, target, body, headers):
        if target == '/run-start' and not seen:
            states.raise_fence(leader, worker)
            await worker_loop.renew_once(leader, worker, 0)
        answer = await handler(source, method, target, body, headers)
        if target == '/run-start':
            seen.append(answer.status)
        return answer

    scene.network.handlers[address] = handle


def test_term_ends_once_its_fences_are_used_up():
    terms = []

    async def scenario(scene):
        leader = _leader(scene)
        worker = next(iter(leader.workers.values()))
        for _ in range(fences.NUMBERS_PER_TERM - fences.RESERVED_NUMBERS):
            states.raise_fence(leader, worker)
        await curio.sleep(3.0)
        later = _leader(scene).term
        terms.extend([leader.deposed, later > leader.term])
        await build.submit_job(
            scene, build.leader(scene), build.step(3, 1500, build.BRIEF_MS)
        )

    result = build.play(scenario)
    assert terms == ['its fences are used up', True]
    assert not result.breaches and not result.unfinished


def test_refusal_by_a_higher_term_ends_the_term():
    reasons = []

    async def scenario(scene):
        leader = _leader(scene)
        for machine in scene.fleet.machines.values():
            if machine.executor is not None:
                machine.executor.fence = leader.term + 1
        await curio.sleep(3.0)
        reasons.append(leader.deposed)

    build.play(scenario)
    assert reasons == ['a worker has seen a higher term']


EXECUTORS = tuple(ids.ExecutorId(name) for name in 'ab')


@hypothesis.given(
    strategies.integers(0, 5000),
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(['raise', 'forget']),
            strategies.sampled_from(EXECUTORS),
        ),
        max_size=3 * fences.NUMBERS_PER_TERM,
    ),
)
def test_fences_only_rise_within_their_term(term_before, steps):
    term = fences.next_term(term_before)
    fence_book = fences.Fences(term)
    last = {name: fences.current(fence_book, name) for name in EXECUTORS}
    assert min(last.values()) > term_before
    for act, name in steps:
        if act == 'raise':
            fences.raise_fence(fence_book, name)
        else:
            fences.forget(fence_book, name, 0.0)
        now = fences.current(fence_book, name)
        used_up = fences.are_used_up(fence_book, name)
        assert now > last[name] or act == 'forget' or used_up
        assert now >= last[name]
        assert fences.is_superseded(fence_book, name, last[name]) == (
            now > last[name]
        )
        assert now <= term
        last[name] = now


def test_number_of_an_executor_that_is_gone_is_kept_for_a_while():
    fence_book = fences.Fences(fences.NUMBERS_PER_TERM)
    for name in EXECUTORS:
        fences.raise_fence(fence_book, name)
        fences.raise_fence(fence_book, name)
    fences.forget(fence_book, EXECUTORS[0], 10.0)
    fences.forget(fence_book, EXECUTORS[1], 10.0 + fences.RETENTION_S)
    assert fences.number(fence_book, EXECUTORS[0]) == 2
    fences.forget(fence_book, EXECUTORS[1], 11.0 + fences.RETENTION_S)
    assert EXECUTORS[0] not in fence_book.numbers
    assert fences.number(fence_book, EXECUTORS[1]) == 2


def test_executor_that_returns_keeps_its_number():
    fence_book = fences.Fences(fences.NUMBERS_PER_TERM)
    fences.raise_fence(fence_book, EXECUTORS[0])
    fences.forget(fence_book, EXECUTORS[0], 0.0)
    fences.raise_fence(fence_book, EXECUTORS[0])
    fences.forget(fence_book, EXECUTORS[1], 2 * fences.RETENTION_S)
    assert fences.number(fence_book, EXECUTORS[0]) == 2


def test_leaders_of_an_earlier_release_follow_and_are_followed(monkeypatch):
    """Their terms rise by one, and are used as fences unchanged."""
    terms = []

    async def next_leads(scene):
        await build.submit_job(
            scene, build.leader(scene), build.step(3, 1500, 1000)
        )
        await build.kill(scene, build.leader(scene))
        await curio.sleep(3.0)
        terms.append(_leader(scene).term)

    async def scenario(scene):
        terms.append(_leader(scene).term)
        with monkeypatch.context() as patch:
            patch.setattr(fences, 'next_term', lambda term: term + 1)
            patch.setattr(fences, 'make', lambda term, number: term)
            await next_leads(scene)
        await next_leads(scene)

    result = build.play(scenario)
    first_term = fences.next_term(0)
    assert terms == [
        first_term,
        first_term + 1,
        fences.next_term(first_term + 1),
    ]
    assert not result.breaches and not result.unfinished


def _roles(ended_term, *leaders) -> roles.Roles:
    known = roles.Roles(ended_term=ended_term)
    for revision, (term, follows) in enumerate(leaders, 1):
        address = ids.Address(f'10.0.0.{revision}:1')
        row = roles.Leader(term, f's{revision}', 'life', address, follows)
        roles.note_leader(known, row, revision)
    return known


def test_terms_before_are_found_whatever_release_they_are_of():
    known = _roles(0, (256, 0), (257, None), (258, None), (514, 258))
    assert roles.unended_terms(known, 514) == [258, 257, 256]
    roles.note_ended(known, 257)
    assert roles.unended_terms(known, 514) == [258]
    roles.note_ended(known, 513)
    assert roles.unended_terms(known, 514) == []


def test_term_whose_leader_is_not_known_is_unsettled():
    known = _roles(0, (256, 0), (768, 512))
    assert roles.unended_terms(known, 768) == [512]
    assert roles.unended_terms(_roles(0), 256) == [255]
