"""Days that ask for features, and figures of what came of them."""

from emulator import day
from emulator import evidence as evidences
from emulator import feature_rules
from emulator import features
from emulator import troubles

Feature = features.Feature


def plan(
    seed: int,
    wanted: tuple[Feature, ...],
    count: int = 0,
    jobs_per_s: float = 2.0,
) -> day.Plan:
    """Draw a day with some troubles."""
    drawn = troubles.draw(seed, 12.0, count, troubles.LAB_KINDS)
    return day.Plan(
        seed,
        features=wanted,
        troubles=tuple(drawn),
        jobs_per_s=jobs_per_s,
        finish_s=features.finish_s(wanted, day.FINISH_S),
    )


def broken(result: day.Result) -> list[str]:
    """Give what broke on a day, and the jobs that were left open."""
    return result.breaches + [f'not ended: {job}' for job in result.unfinished]


def near_share(result: day.Result) -> float:
    """Give the part of the tasks with data somewhere that start beside it."""
    near = []
    for sight in result.evidence.sights:
        if sight.kind is evidences.Kind.STARTED:
            step = feature_rules.step_of(result.jobs, sight.task)
            labels = result.evidence.places[sight.place].labels
            if step.get('affinity'):
                near.append(step['affinity'] in labels)
    return sum(near) / len(near)


def later_factor(result: day.Result) -> float:
    """Give how many times longer jobs that may wait take than urgent ones."""
    sent_s: dict[str, float] = {}
    took_s: dict[bool, list[float]] = {False: [], True: []}
    for sight in result.evidence.sights:
        if sight.kind is evidences.Kind.HANDED_IN:
            sent_s.setdefault(sight.job, sight.at_s)
        elif sight.kind is evidences.Kind.SHOWN and sight.how == 'completed':
            later = bool(result.jobs[sight.job].get('later'))
            took_s[later].append(sight.at_s - sent_s[sight.job])
    later_s, urgent_s = took_s[True], took_s[False]
    return sum(later_s) / len(later_s) / (sum(urgent_s) / len(urgent_s))
