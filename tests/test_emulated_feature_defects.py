"""Defects planted in what few jobs ask for, which days must show."""

import dataclasses
import typing

import msgspec
import pytest

from emulator import day
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.pools import advised
from oleanderwood.pools import pacing
from oleanderwood.pools import placing
from oleanderwood.pools import urgency
from tests import utils_features as build

Feature = build.Feature
CALM_SEEDS = (4, 3, 5, 6)

FINISH_S = 12.0
"""Time after the last job; what a defect breaks shows sooner."""


@dataclasses.dataclass(frozen=True, eq=False)
class _Lenient:
    """A group as far as ``fits`` looks at it, without one of its limits."""

    step: model.Step
    tickets: dict | None
    suspects: dict = dataclasses.field(default_factory=dict)


def _without(**limits):
    """Plant: a limit of steps is overlooked."""

    def plant(patch):
        fits = placing.fits

        def lenient(room, group):
            step = msgspec.structs.replace(group.step, **limits)
            return fits(room, _Lenient(step, group.tickets))

        patch.setattr(placing, 'fits', lenient)

    return plant


def _gangs_start_bit_by_bit(patch):
    def place(group, free, now_s, quotas):
        unmet = placing.Unmet()
        return placing._place_tasks(
            group, free, now_s, 1, quotas, unmet, len(free)
        )

    patch.setattr(placing, '_place_gang', place)


def _members_fail_apart(patch):
    patch.setattr(ledgers, '_failures', lambda task: len(task.failed_attempts))


def _saved_work_is_shared(patch):
    def note(task, checkpoint):
        if checkpoint:
            for other in task.group.tasks:
                other.checkpoint = checkpoint

    patch.setattr(ledgers, 'note_checkpoint', note)


def _all_have_room(patch):
    def rooms(pool, now_s):
        found = real(pool, now_s)
        for room in found:
            capacity = room.worker.entry.capacity
            room.cpu_millicores = capacity.cpu_millicores
            room.memory_mb = capacity.memory_mb
            room.gpus = capacity.gpus
        return found

    real = placing.free_capacity
    patch.setattr(placing, 'free_capacity', rooms)


def _all_is_due(patch):
    patch.setattr(model, 'due_ms', lambda job, occurrence: 0.0)


def _data_lies_everywhere(patch):
    def prefer(room, group, task):
        step = msgspec.structs.replace(group.step, near_rack='')
        return real(room, _Lenient(step, group.tickets), task)

    real = placing._preference
    patch.setattr(placing, '_preference', prefer)


def _nobody_needs_advice(patch):
    patch.setattr(advised, 'awaits_advice', lambda group, known, now_s: False)


def _nothing_is_paced(patch):
    patch.setattr(pacing, 'decide', lambda worker: [])


def _all_is_as_urgent(patch):
    def rank(group, queue, *rest):
        return real(group, msgspec.structs.replace(queue, priority=0), *rest)

    real = urgency.rank
    patch.setattr(urgency, 'rank', rank)


def _breaks(rule):
    def shows(result: day.Result) -> bool:
        return any(line.startswith(rule) for line in result.breaches)

    return shows


class Defect(typing.NamedTuple):
    """A defect, the feature it needs, and how a day shows it."""

    plant: typing.Callable
    feature: Feature
    shows: typing.Callable[[day.Result], bool]
    jobs_per_s: float = 2.0


DEFECTS = {
    'starts gangs bit by bit': Defect(
        _gangs_start_bit_by_bit, Feature.GANGS, _breaks('GANG')
    ),
    'counts the failures of members apart': Defect(
        _members_fail_apart, Feature.GANGS, _breaks('BUDGET')
    ),
    "gives tasks each other's saved work": Defect(
        _saved_work_is_shared, Feature.CHECKPOINTS, _breaks('UNASKED')
    ),
    'overfills workers': Defect(
        _all_have_room, Feature.UNGUARDED, _breaks('LIMIT')
    ),
    'starts repetitions at once': Defect(
        _all_is_due, Feature.REPEATS, _breaks('ORDER')
    ),
    'overlooks labels': Defect(
        _without(label=''), Feature.LABELS, _breaks('ROUTE')
    ),
    'overlooks the most of a step on a worker': Defect(
        _without(max_per_worker=0), Feature.SPREAD, _breaks('ROUTE')
    ),
    'overlooks where data lies': Defect(
        _data_lies_everywhere,
        Feature.RACKS,
        lambda result: build.near_share(result) < 0.6,
    ),
    'starts without advice': Defect(
        _nobody_needs_advice,
        Feature.ADVICE,
        lambda result: result.refused['ticket'] > 0,
    ),
    'paces nothing': Defect(
        _nothing_is_paced, Feature.LEFTOVERS, _breaks('HARM'), 4.0
    ),
    'overlooks priorities': Defect(
        _all_is_as_urgent,
        Feature.PRIORITIES,
        lambda result: build.later_factor(result) < 1.2,
        12.0,
    ),
}


def _shows(defect: Defect, seed: int) -> bool:
    plan = build.plan(seed, (defect.feature,), 0, defect.jobs_per_s)
    short = dataclasses.replace(plan, finish_s=FINISH_S)
    return defect.shows(day.play(short))


@pytest.mark.parametrize('name', DEFECTS)
def test_planted_defect_is_found(name):
    defect = DEFECTS[name]
    assert not _shows(defect, CALM_SEEDS[0])
    with pytest.MonkeyPatch.context() as patch:
        defect.plant(patch)
        assert any(_shows(defect, seed) for seed in CALM_SEEDS)
