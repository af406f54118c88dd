"""The rules on what few jobs ask for, checked from what was seen outside."""

import collections
import collections.abc

from emulator import evidence as evidences

Kind = evidences.Kind

EARLY_S = 0.25
"""How much before its time a task may start."""

HARM_S = 4.0
"""Time on end for which tasks that fill may bring another over its target."""

CONTACT_S = 3.0
"""Time after a trouble until things count as calm again."""

SHRUNK_S = 4.5
"""Time after which a room that has shrunk counts: that, and one beat."""

WALL_S = 1_700_000_000.0
"""Time of day at which a day begins, since 1970."""

Spans = collections.abc.Collection[tuple[float, float]]


def step_of(jobs: dict[str, dict], task: str) -> dict:
    """Give the step of a task, as it was handed in."""
    job, _occurrence, step, _index = task.split('.')
    return jobs[job]['phases'][int(step)]


def unit(jobs: dict[str, dict], task: str) -> str:
    """Give what ends and fails as one: a gang, or else a task."""
    if step_of(jobs, task).get('gang'):
        return task.rpartition('.')[0]
    return task


def check(
    evidence: evidences.Evidence, jobs: dict[str, dict], troubled: Spans
) -> list[str]:
    """Give all breaches, as sentences."""
    return [
        *_routed(evidence, jobs),
        *_fitting(evidence, jobs),
        *_timely(evidence, jobs),
        *_alone(evidence, jobs, troubled),
        *_saved(evidence, jobs),
        *_harmed(evidence, troubled),
    ]


def _is_calm(at_s: float, troubled: Spans) -> bool:
    return all(
        not begin_s <= at_s <= end_s + CONTACT_S for begin_s, end_s in troubled
    )


def _is_calm_all_along(begin_s: float, end_s: float, troubled: Spans) -> bool:
    return all(
        first_s > end_s or last_s + CONTACT_S < begin_s
        for first_s, last_s in troubled
    )


def _running(evidence):
    """Give each start with the tasks that run on its executor before it."""
    there = collections.defaultdict(set)
    for sight in evidence.sights:
        if sight.kind is Kind.STARTED:
            yield sight, there[sight.place]
            there[sight.place].add(sight.task)
        elif sight.kind is Kind.ENDED:
            there[sight.place].discard(sight.task)
        elif sight.kind is Kind.DIED:
            there.pop(sight.place, None)


def _sent_to(job: dict, service: str) -> bool:
    """Say whether some configuration sends a job's queue to a service."""
    first = job.get('service')
    return first is None or service in (first, *job.get('later_services', ()))


def _routed(evidence, jobs):
    """Each start is on an executor that its queue and its step allow."""
    for sight, there in _running(evidence):
        place = evidence.places.get(sight.place)
        step = step_of(jobs, sight.task)
        where = f'ROUTE at {sight.at_s:.2f}: {sight.task} on {sight.place}'
        if place is not None and not _sent_to(jobs[sight.job], place.service):
            yield f'{where}, of {place.service}'
        label = step.get('required_label')
        if place is not None and label and label not in place.labels:
            yield f'{where}, without {label}'
        most = step.get('max_per_server')
        group = sight.task.rpartition('.')[0]
        here = sum(task.rpartition('.')[0] == group for task in there)
        if most and here >= most:
            yield f'{where}, beside {here} of its step'


def _fitting(evidence, jobs):
    """No start brings an executor that doesn't guard itself over its size."""
    for sight, there in _running(evidence):
        place = evidence.places.get(sight.place)
        if place is None or place.guards:
            continue
        steps = [step_of(jobs, task) for task in {*there, sight.task}]
        cpu = sum(
            step.get('cpu', 0) for step in steps if not step.get('fills')
        )
        memory_mb = sum(step.get('mem_mb', 0) for step in steps)
        most_cpu, most_memory_mb = _most(place, sight.at_s)
        if cpu > most_cpu or memory_mb > most_memory_mb:
            yield (
                f'LIMIT at {sight.at_s:.2f}: {sight.task} brings '
                f'{sight.place} to {cpu} and {memory_mb} MB'
            )


def _most(place: evidences.Place, at_s: float) -> tuple[int, int]:
    """Give the room of an executor that counts at a time.

    One that has shrunk counts some time later.
    """
    first = evidences.Size(0.0, place.cpu, place.memory_mb)
    sizes = [size for size in (first, *place.sizes) if size.at_s <= at_s]
    later = [size.at_s for size in sizes[1:]] + [at_s]
    counting = [
        size
        for size, until_s in zip(sizes, later, strict=True)
        if until_s > at_s - SHRUNK_S or size is sizes[-1]
    ]
    return (
        max(size.cpu for size in counting),
        max(size.memory_mb for size in counting),
    )


def _timely(evidence, jobs):
    """No task of a repetition starts long before its time."""
    for sight in evidence.sights:
        if sight.kind is not Kind.STARTED:
            continue
        spec = jobs[sight.job]
        if not spec.get('repeat_count'):
            continue
        number = int(sight.task.split('.')[1])
        due_ms = spec['start_time_ms'] + number * spec['interval_ms']
        early_s = due_ms / 1000 - WALL_S - sight.at_s
        if early_s > EARLY_S:
            yield (
                f'ORDER at {sight.at_s:.2f}: {sight.task} is '
                f'{early_s:.2f} s before its time'
            )


def _alone(evidence, jobs, troubled):
    """While all is calm, no task waits in vain for the rest of its gang."""
    cancelled = set()
    for sight in evidence.sights:
        if sight.kind is Kind.CANCELLED:
            cancelled.add(sight.job)
        elif sight.kind is Kind.ENDED and sight.how == 'alone':
            if sight.job not in cancelled and _is_calm(sight.at_s, troubled):
                yield f'GANG at {sight.at_s:.2f}: {sight.task} was alone'


def _saved(evidence, jobs):
    """Starts carry only what their task saved, and a gang's all the same."""
    saved = collections.defaultdict(set)
    carried = {}
    for sight in evidence.sights:
        if sight.kind is Kind.SAVED:
            saved[unit(jobs, sight.task)].add(sight.saved)
        if sight.kind is not Kind.STARTED:
            continue
        whose = unit(jobs, sight.task)
        if sight.saved and sight.saved not in saved[whose]:
            yield f'UNASKED at {sight.at_s:.2f}: {sight.task} goes on wrongly'
        first = carried.setdefault((whose, sight.attempt), sight.saved)
        if whose != sight.task and first != sight.saved:
            yield f'UNASKED at {sight.at_s:.2f}: {sight.task} unlike its gang'


def _harmed(evidence, troubled):
    """While all is calm, no serving task is over its target for long."""
    since = {}
    for sight in evidence.sights:
        over = []
        if sight.kind is Kind.HARMED:
            since.setdefault((sight.place, sight.task), sight.at_s)
        elif sight.kind in (Kind.EASED, Kind.ENDED):
            over = [(sight.place, sight.task)]
        elif sight.kind is Kind.DIED:
            over = [row for row in since if row[0] == sight.place]
        yield from _harms(since, over, sight.at_s, troubled)
    if evidence.sights:
        end_s = evidence.sights[-1].at_s
        yield from _harms(since, list(since), end_s, troubled)


def _harms(since, over, at_s, troubled):
    for row in over:
        begun_s = since.pop(row, None)
        if begun_s is None or at_s - begun_s < HARM_S:
            continue
        if _is_calm_all_along(begun_s, at_s, troubled):
            place, task = row
            yield (
                f'HARM at {at_s:.2f}: {task} on {place} for '
                f'{at_s - begun_s:.2f} s'
            )
