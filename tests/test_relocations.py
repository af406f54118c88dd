"""A wave relocates a long-running task of a queue that needs advice.

What callers see: a wave isn't completed, though another machine of the pool is
idle and may run the task. Order of events: a step asks for advice and starts,
with more of its tasks on one machine than may be away at once; a machine that
the advice would name joins the pool; the tickets expire, and nobody asks for
others, as nothing of the step waits; a wave is due on the machine with the
tasks. By the old tickets no other machine had room.
"""

import dataclasses

import curio

from emulator import advice
from emulator import features
from emulator import fleet as fleets
from oleanderwood import event_log
from oleanderwood import ids
from tests import utils_advice
from tests import utils_restarts
from tests import utils_takeover as build

PLAN = dataclasses.replace(
    build.PLAN, features=(features.Feature.ADVICE,), tells_births=True
)

TICKETS_EXPIRE_S = 3.0
"""Time after which no ticket is valid any more, in seconds."""

SETTLE_S = 1.0
"""Time after which a wave has been judged by new advice, in seconds."""

SAMPLE_S = 0.05
"""Interval between two looks at what a pool needs, in seconds: shorter than
a call for advice."""

WAVE_S = 12.0
"""Time to watch a wave, in seconds: longer than four orders, and shorter than
what is left when a wave begins to hurry."""


def _good_machines(scene, job: int) -> list[str]:
    name = f'{job:016x}.0.0'
    return [
        machine.name
        for machine in scene.fleet.machines.values()
        if advice.is_good(name, machine.executor.name)
    ]


def _log_of(monkeypatch) -> list[tuple[str, str, dict]]:
    """Return a list that receives all events of the log."""
    events: list[tuple[str, str, dict]] = []

    def emit(part, event, **fields):
        events.append((part, event, fields))

    monkeypatch.setattr(event_log, 'emit', emit)
    return events


def _play(monkeypatch, is_newcomer_good):
    """Play a wave on a machine with two tasks of which one may be away.

    :param is_newcomer_good: advice names the machine that joins the pool
    :return: whether the machine's maintenance was done; how many machines the
        pool needed meanwhile; the log's events
    """
    events = _log_of(monkeypatch)
    done: list[bool] = []
    needs: set[int] = set()

    async def story(scene):
        await utils_advice.need_advice(scene, PLAN)
        job = next(
            job
            for job in range(1, 20)
            if len(_good_machines(scene, job)) == 2
            and 'm1' in _good_machines(scene, job)
        )
        (other,) = set(_good_machines(scene, job)) - {'m1'}
        newcomer = other
        if not is_newcomer_good:
            newcomer = ({'m2', 'm3'} - {other}).pop()
        machines = scene.fleet.machines
        # Both tasks start on m1, as the other machine is away meanwhile.
        await fleets.end_life(scene.fleet, machines[other], 'crash')
        machines[other].state = 'down'
        await curio.sleep(build.FINISH_S)
        scene.jobs = job - 1
        step = build.step(2, 1000, 300)
        step.update(long_running=True, may_miss=1)
        begun = await utils_restarts.start_job(scene, step)
        await curio.sleep(TICKETS_EXPIRE_S)
        assert begun == [machines['m1'].address] * 2
        if newcomer == other:
            await fleets.begin_life(scene.fleet, machines[other])
        await curio.sleep(TICKETS_EXPIRE_S)
        previous = machines['m1'].executor
        events.clear()
        await fleets.ask_wave(scene.fleet, ['m1'])
        await curio.sleep(SETTLE_S)
        for _ in range(round((WAVE_S - SETTLE_S) / SAMPLE_S)):
            await curio.sleep(SAMPLE_S)
            fleet = build.leader(scene).state.leader.fleet
            needs.add(fleet.needs[ids.ServiceId(PLAN.pools[0])].now)
        done.append(machines['m1'].executor is not previous)

    result = build.play(story, PLAN)
    assert not result.breaches
    return done[0], needs, events


def test_wave_asks_for_advice_on_a_task_that_has_to_leave(monkeypatch):
    """The wave judged by tickets that had expired, and waited for good."""
    done, _needs, events = _play(monkeypatch, is_newcomer_good=True)
    assert done
    assert ('wave', 'relocates') in [row[:2] for row in events]


def test_wave_that_has_to_wait_says_so_once(monkeypatch):
    """Its reason changed with each pass.

    The machine that it asked for counted as needed, so that the pool had none
    to spare; then it asked for no machine, and the pool had one to spare.
    """
    done, needs, events = _play(monkeypatch, is_newcomer_good=False)
    waits = [
        fields['machines']
        for part, event, fields in events
        if (part, event) == ('wave', 'waits') and fields['machines']
    ]
    assert not done
    assert waits == [{'m1': 'its long-running tasks are needed'}]
    # Two machines are up; the pool asks for one more throughout.
    assert needs == {3}
