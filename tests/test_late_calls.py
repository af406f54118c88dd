"""Calls of a leader's own that are carried out late are refused.

What callers saw: tasks that ran again though they were done, and tasks that
ran on two executors at once. Order of events: a call to an executor gets no
answer; the executor starts again under its id, and the leader meets the next
life; seconds later the call is carried out there. All calls of a term had the
same fence, so the next life took it: a renewal forgot ends that nobody had
read, or lengthened the lease of all that ran there. Evidence:
`test_order_in_the_next_life`, and the answers to the late calls below.
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
NEXT_LIFE_S = 1.5
"""Time from a call that is carried out late to the next life: by then it was
given up, and the run it was about was looked for."""


def _leader(scene) -> states.Leader:
    return build.leader(scene).state.leader


def _late_call(outcomes, restarts, meant, asks=None, step=utils_restarts.LONG):
    """Let one call to a busy executor be carried out late.

    :param outcomes: gets how the late call ended
    :param restarts: whether the executor starts again meanwhile
    """

    async def story(scene):
        late = utils_restarts.make_one_late(scene, LATE_S, meant, asks)
        await build.hand_in(scene, build.leader(scene), step)
        while not late:
            await curio.sleep(0.01)
        (struck,) = late
        await curio.sleep(NEXT_LIFE_S)
        if restarts:
            await utils_restarts.restart(scene, struck, 0.05)
        ended = utils_restarts.note_late(scene, struck)
        await curio.sleep(LATE_S)
        outcomes.extend(ended)

    return utils_restarts.play(story)


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

    async def story(scene):
        leader = _leader(scene)
        for address in utils_restarts.executor_addresses(scene):
            _overtake(scene, leader, address, seen)
        await build.hand_in(scene, build.leader(scene), utils_restarts.LONG)
        await curio.sleep(1.0)
        assert not leader.deposed

    result = utils_restarts.play(story)
    assert seen[:2] == [409, 200]
    assert not result.breaches and not result.unfinished


def _overtake(scene, leader, address, seen) -> None:
    """Let a call with a higher fence come before the first start."""
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

    async def story(scene):
        leader = _leader(scene)
        worker = next(iter(leader.workers.values()))
        for _ in range(fences.NUMBERS - fences.RESERVED):
            states.raise_fence(leader, worker)
        await curio.sleep(3.0)
        later = _leader(scene).term
        terms.extend([leader.deposed, later > leader.term])
        await build.hand_in(
            scene, build.leader(scene), build.step(3, 1500, build.BRIEF_MS)
        )

    result = build.play(story)
    assert terms == ['its fences are used up', True]
    assert not result.breaches and not result.unfinished


def test_refusal_by_a_higher_term_ends_the_term():
    told = []

    async def story(scene):
        leader = _leader(scene)
        for machine in scene.fleet.machines.values():
            if machine.executor is not None:
                machine.executor.fence = leader.term + 1
        await curio.sleep(3.0)
        told.append(leader.deposed)

    build.play(story)
    assert told == ['a worker has seen a higher term']


EXECUTORS = tuple(ids.ExecutorId(name) for name in 'ab')


@hypothesis.given(
    strategies.integers(0, 5000),
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(['raise', 'forget']),
            strategies.sampled_from(EXECUTORS),
        ),
        max_size=3 * fences.NUMBERS,
    ),
)
def test_fences_only_rise_within_their_term(term_before, steps):
    term = fences.next_term(term_before)
    given = fences.Fences(term)
    last = {name: fences.current(given, name) for name in EXECUTORS}
    assert min(last.values()) > term_before
    for act, name in steps:
        if act == 'raise':
            fences.raise_fence(given, name)
        else:
            fences.forget(given, name, 0.0)
        now = fences.current(given, name)
        used_up = fences.are_used_up(given, name)
        assert now > last[name] or act == 'forget' or used_up
        assert now >= last[name]
        assert fences.is_overtaken(given, name, last[name]) == (
            now > last[name]
        )
        assert now <= term
        last[name] = now


def test_number_of_an_executor_that_is_gone_is_kept_for_a_while():
    given = fences.Fences(fences.NUMBERS)
    for name in EXECUTORS:
        fences.raise_fence(given, name)
        fences.raise_fence(given, name)
    fences.forget(given, EXECUTORS[0], 10.0)
    fences.forget(given, EXECUTORS[1], 10.0 + fences.KEPT_S)
    assert fences.number(given, EXECUTORS[0]) == 2
    fences.forget(given, EXECUTORS[1], 11.0 + fences.KEPT_S)
    assert EXECUTORS[0] not in given.numbers
    assert fences.number(given, EXECUTORS[1]) == 2


def test_one_that_is_met_again_keeps_its_number():
    given = fences.Fences(fences.NUMBERS)
    fences.raise_fence(given, EXECUTORS[0])
    fences.forget(given, EXECUTORS[0], 0.0)
    fences.raise_fence(given, EXECUTORS[0])
    fences.forget(given, EXECUTORS[1], 2 * fences.KEPT_S)
    assert fences.number(given, EXECUTORS[0]) == 2


def test_leaders_of_an_earlier_release_follow_and_are_followed(monkeypatch):
    """Their terms rise by one, and are their fences."""
    terms = []

    async def next_leads(scene):
        await build.hand_in(
            scene, build.leader(scene), build.step(3, 1500, 1000)
        )
        await build.kill(scene, build.leader(scene))
        await curio.sleep(3.0)
        terms.append(_leader(scene).term)

    async def story(scene):
        terms.append(_leader(scene).term)
        with monkeypatch.context() as patch:
            patch.setattr(fences, 'next_term', lambda term: term + 1)
            patch.setattr(fences, 'make', lambda term, number: term)
            await next_leads(scene)
        await next_leads(scene)

    result = build.play(story)
    ours = fences.next_term(0)
    assert terms == [ours, ours + 1, fences.next_term(ours + 1)]
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
    assert roles.unsettled_terms(known, 514) == [258, 257, 256]
    roles.note_ended(known, 257)
    assert roles.unsettled_terms(known, 514) == [258]
    roles.note_ended(known, 513)
    assert roles.unsettled_terms(known, 514) == []


def test_term_whose_leader_is_not_known_is_unsettled():
    known = _roles(0, (256, 0), (768, 512))
    assert roles.unsettled_terms(known, 768) == [512]
    assert roles.unsettled_terms(_roles(0), 256) == [255]
