"""What jobs and pools may ask for beyond plain tasks, drawn for a day."""

import collections
import collections.abc
import enum
import random

from emulator import crashing
from emulator import evidence as evidences
from oleanderwood import clock


class Feature(enum.Enum):
    """One thing that few days ask for."""

    GANGS = 'gangs'
    UNGUARDED = 'unguarded'
    """Executors start whatever they are told to."""

    REPEATS = 'repeats'
    LABELS = 'labels'
    RACKS = 'racks'
    SPREAD = 'spread'
    """At most so many tasks of a step on one executor."""

    COPIES = 'copies'
    CHECKPOINTS = 'checkpoints'
    ADVICE = 'advice'
    """Starts need tickets of the advice service."""

    PRIORITIES = 'priorities'
    """Each pool has a second queue whose jobs may wait."""

    LEFTOVERS = 'leftovers'
    """Tasks that take what others leave, beside some that serve."""

    CRASHES = 'crashes'
    """Some tasks crash the executors that start them."""

    MANY_STEPS = 'many-steps'
    """Some jobs have hundreds of steps, some of which wait for all others."""

    MANY_REPEATS = 'many-repeats'
    """Some jobs run a hundred times, faster than they end."""


KINDS = ('a', 'b')
"""Kinds of machines on days that ask for labels."""

RACKS = ('r0', 'r1', 'r2')

SHARE = 0.5
"""Part of the jobs that ask for a feature of the day."""

LARGE_SHARE = 0.1
"""Part of the jobs that have many steps, or repeat often."""

MANY = 200
"""Steps of such a job, or times that it runs."""

WAITING_STEPS = 3
"""Steps that wait for all others."""

CRASHING_SHARE = 0.1
"""Part of the jobs with a task that crashes executors."""

LEFTOVERS_FINISH_S = 80.0
"""Time after the last job in which all have to end that use leftovers; they
are paced down, and take several times longer."""

Features = collections.abc.Collection[Feature]


LATER = (Feature.CRASHES, Feature.MANY_STEPS, Feature.MANY_REPEATS)
"""Features that were added since seeds were first kept; days ask for them by
name."""

DRAWN = tuple(feature for feature in Feature if feature not in LATER)


def draw(seed: int, count: int) -> tuple[Feature, ...]:
    """Draw what a day asks for."""
    return tuple(random.Random(seed).sample(list(DRAWN), count))


def finish_s(features: Features, usual_s: float) -> float:
    """Give the time after the last job in which all have to end."""
    return LEFTOVERS_FINISH_S if Feature.LEFTOVERS in features else usual_s


def adorn(rng: random.Random, features: Features, spec: dict) -> dict:
    """Let a drawn job ask for some of a day's features."""
    for feature in Feature:
        if feature in features and feature in _ADORN:
            if rng.random() < SHARE:
                _ADORN[feature](rng, spec)
    for step in spec['phases']:
        if step.get('gang') and step.get('max_per_server'):
            # One that has room on two machines, so that it can be done.
            least = -(-step['count'] // 2)
            step['max_per_server'] = max(step['max_per_server'], least)
    return spec


def _gang(rng, spec) -> None:
    step = rng.choice(spec['phases'])
    step['gang'] = True
    step['count'] = max(2, step['count'])
    step['same_rack'] = rng.random() < 0.5


def _large(rng, spec) -> None:
    for step in spec['phases']:
        step['mem_mb'] = rng.randint(1000, 16000)


def _repeats(rng, spec) -> None:
    spec['repeat_count'] = rng.randint(2, 4)
    spec['start_time_ms'] = int(clock.wall_ms()) + rng.randint(500, 3000)
    spec['interval_ms'] = rng.randint(500, 2500)


def _label(rng, spec) -> None:
    rng.choice(spec['phases'])['required_label'] = rng.choice(KINDS)


def _rack(rng, spec) -> None:
    rng.choice(spec['phases'])['affinity'] = rng.choice(RACKS)


def _spread(rng, spec) -> None:
    step = rng.choice(spec['phases'])
    # Without more of them than a few machines take, no job waits for good.
    step['max_per_server'] = rng.randint(1, 2)


def _copies(rng, spec) -> None:
    rng.choice(spec['phases'])['speculative'] = True


def _checkpoints(rng, spec) -> None:
    for step in spec['phases']:
        step['checkpointing'] = True


def _later(rng, spec) -> None:
    spec['later'] = True


def _fills(rng, spec) -> None:
    for step in spec['phases']:
        step['fills'] = True
        step['image'] = 'grind'
        # Long enough to harm others, if nothing is done about it.
        step['estimate_ms'] *= 4


def _small_step(after: collections.abc.Iterable[int] = ()) -> dict:
    step = {'count': 1, 'cpu': 100, 'mem_mb': 10, 'estimate_ms': 100}
    return {**step, 'after': list(after)} if after else step


def _many_steps(rng, spec) -> None:
    if rng.random() < LARGE_SHARE / SHARE:
        first = [_small_step() for _ in range(MANY)]
        last = [_small_step(range(MANY)) for _ in range(WAITING_STEPS)]
        spec['phases'] = [*first, *last]
        spec['large'] = True


def _many_repeats(rng, spec) -> None:
    if rng.random() < LARGE_SHARE / SHARE:
        spec['phases'] = [_small_step()]
        spec['repeat_count'] = MANY
        spec['start_time_ms'] = int(clock.wall_ms())
        spec['interval_ms'] = 30
        spec['large'] = True


def _crashes(rng, spec) -> None:
    if rng.random() < CRASHING_SHARE / SHARE:
        step = rng.choice(spec['phases'])
        step[crashing.FIELD] = crashing.draw(rng, step['count'])


_ADORN = {
    Feature.GANGS: _gang,
    Feature.UNGUARDED: _large,
    Feature.REPEATS: _repeats,
    Feature.LABELS: _label,
    Feature.RACKS: _rack,
    Feature.SPREAD: _spread,
    Feature.COPIES: _copies,
    Feature.CHECKPOINTS: _checkpoints,
    Feature.LEFTOVERS: _fills,
    Feature.PRIORITIES: _later,
    Feature.CRASHES: _crashes,
    Feature.MANY_STEPS: _many_steps,
    Feature.MANY_REPEATS: _many_repeats,
}

_FIELDS = {
    Feature.GANGS: 'gang',
    Feature.LABELS: 'required_label',
    Feature.RACKS: 'affinity',
    Feature.SPREAD: 'max_per_server',
    Feature.COPIES: 'speculative',
    Feature.CHECKPOINTS: 'checkpointing',
    Feature.LEFTOVERS: 'fills',
    Feature.CRASHES: crashing.FIELD,
}
"""The field of a step that asks for a feature."""


def met(
    evidence: evidences.Evidence, jobs: dict[str, dict], features: Features
) -> collections.Counter:
    """Count the starts that met each feature."""
    count: collections.Counter = collections.Counter()
    for sight in evidence.sights:
        if sight.kind is not evidences.Kind.STARTED:
            continue
        spec = jobs.get(sight.job)
        if spec is None:
            continue
        step = spec['phases'][int(sight.task.split('.')[2])]
        for feature, field in _FIELDS.items():
            count[feature] += bool(step.get(field))
        count[Feature.ADVICE] += Feature.ADVICE in features
        count[Feature.PRIORITIES] += bool(spec.get('later'))
        count[Feature.REPEATS] += bool(spec.get('repeat_count'))
        for feature in (Feature.MANY_STEPS, Feature.MANY_REPEATS):
            count[feature] += feature in features and bool(spec.get('large'))
        place = evidence.places.get(sight.place)
        count[Feature.UNGUARDED] += place is not None and not place.guards
    return count
