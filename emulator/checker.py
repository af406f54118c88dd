"""The rules, checked from what was seen outside the product."""

import collections
import math

from emulator import evidence as evidences
from emulator import feature_rules

Kind = evidences.Kind

CANCEL_S = 3.0
"""Time after which nothing of a cancelled job may start."""

NOTICE_S = 4.5
"""Time after which a task counts as away for whatever cause."""

TURN_S = 3.0
"""Pause between two leaders' orders for one machine."""

CRASHES = 3
"""Executors that a task may crash before its starts are counted, and"""

STARTS_AFTER_CRASHES = 2
"""how many of them may follow."""

CRASHES_TO_GIVE_UP = 2
"""Executors that have to crash under a task before it may be given up."""

DRAIN_S = 2.0
"""Time after which nothing starts on an executor that leaves."""

HEARD_S = 3.0
"""Time after which servers have heard of a change in the store, once nothing
keeps them from it; the platform's bound for being in touch."""


def check(
    evidence: evidences.Evidence,
    jobs: dict[str, dict],
    max_attempts: int,
    most_down: dict[int, int],
    maintenance_s: float,
    troubled: feature_rules.Spans = (),
) -> list[str]:
    """Give all breaches, as sentences.

    :param troubled: spans with a trouble
    """
    return [
        *_twice(evidence, jobs),
        *_order(evidence, jobs),
        *_attempts(evidence, max_attempts, jobs),
        *_crashes(evidence),
        *_shown(evidence, jobs, max_attempts),
        *_asked(evidence),
        *_drained(evidence),
        *_spoiled(evidence),
        *_maintained(evidence, most_down, maintenance_s),
        *_away(evidence, jobs),
        *_turns(evidence),
        *feature_rules.check(evidence, jobs, troubled),
    ]


def _twice(evidence, jobs):
    """No two runs of a task at once, and none after an acknowledged end."""
    open_runs = collections.defaultdict(dict)
    noted = {}
    done = {}
    to_be_noted = _noted_ends(evidence)
    for sight in evidence.sights:
        if sight.kind is Kind.STARTED:
            if _step(jobs, sight.task).get('speculative'):
                continue
            others = {
                place
                for place in open_runs[sight.task]
                if place != sight.place
            }
            if others:
                yield (
                    f'TWICE at {sight.at_s:.2f}: {sight.task} runs on '
                    f'{others} and {sight.place}'
                )
            whole = _unit(jobs, sight.task)
            if whole in noted:
                yield (
                    f'TWICE at {sight.at_s:.2f}: {sight.task} was done at '
                    f'{noted[whole]:.2f}'
                )
            elif whole in done:
                yield (
                    f'TWICE at {sight.at_s:.2f}: {sight.task} was done at '
                    f'{done[whole]:.2f}, as is noted later'
                )
            open_runs[sight.task][sight.place] = sight
        elif sight.kind is Kind.ENDED:
            open_runs[sight.task].pop(sight.place, None)
            if _run(sight) in to_be_noted:
                done.setdefault(_unit(jobs, sight.task), sight.at_s)
        elif sight.kind is Kind.DIED:
            for places in open_runs.values():
                places.pop(sight.place, None)
        elif sight.kind is Kind.NOTED and sight.how == 'done':
            noted.setdefault(_unit(jobs, sight.task), sight.at_s)


def _noted_ends(evidence):
    """Give the runs whose ends as done are taken note of at some time.

    One whose executor's lease ran out before it was doesn't count.
    """
    ended_s = {}
    lapsed_s = {}
    noted = set()
    for sight in evidence.sights:
        if sight.kind is Kind.LAPSED:
            lapsed_s[sight.place] = sight.at_s
        elif sight.kind is Kind.ENDED and sight.how == 'done':
            ended_s[_run(sight)] = sight.at_s
        elif sight.kind is Kind.NOTED and _run(sight) in ended_s:
            if lapsed_s.get(sight.place, -1.0) < ended_s[_run(sight)]:
                noted.add(_run(sight))
    return noted


def _run(sight):
    return sight.place, sight.task, sight.attempt


_step = feature_rules.step_of
_unit = feature_rules.unit


def _order(evidence, jobs):
    """No start before the steps that it waits for are done."""
    done = set()
    for sight in evidence.sights:
        if sight.kind is Kind.ENDED and sight.how == 'done':
            done.add(sight.task)
        if sight.kind is not Kind.STARTED:
            continue
        occurrence = sight.task.split('.')[1]
        for other in _step(jobs, sight.task).get('after', ()):
            count = jobs[sight.job]['phases'][other]['count']
            group = f'{sight.job}.{occurrence}.{other}'
            names = {f'{group}.{index}' for index in range(count)}
            if names - done:
                yield f'ORDER at {sight.at_s:.2f}: {sight.task} is early'


def _attempts(evidence, max_attempts, jobs):
    """No start after the last allowed failure was acknowledged."""
    failed = collections.defaultdict(set)
    for sight in evidence.sights:
        if sight.kind is Kind.NOTED and sight.how == 'failed':
            whole = _unit(jobs, sight.task)
            # The members of a gang fail as one.
            place = sight.place if whole == sight.task else ''
            failed[whole].add((place, sight.attempt))
        if (
            sight.kind is Kind.STARTED
            and len(failed[_unit(jobs, sight.task)]) >= max_attempts
            and not _step(jobs, sight.task).get('long_running')
        ):
            yield f'BUDGET at {sight.at_s:.2f}: {sight.task}'


def _crashes(evidence):
    """No task that crashes executors is started without end.

    By the platform's rule, orders that were carried out late don't count, nor
    those of servers that weren't in touch.
    """
    crashed = collections.Counter()
    after = collections.Counter()
    for sight, in_touch in _with_touch(evidence):
        if sight.kind is Kind.CRASHED:
            crashed[sight.task] += 1
        elif sight.kind is Kind.STARTED and in_touch and sight.how != 'late':
            after[sight.task] += crashed[sight.task] >= CRASHES
            if after[sight.task] > STARTS_AFTER_CRASHES:
                yield (
                    f'BUDGET at {sight.at_s:.2f}: {sight.task} has crashed '
                    f'{crashed[sight.task]} executors'
                )


def _shown(evidence, jobs, max_attempts):
    """What callers are told is true, and an accepted job stays known."""
    done = set()
    failed = collections.defaultdict(set)
    crashed = _crashed_under(evidence)
    accepted = set()
    cancelled = set()
    for sight in evidence.sights:
        if sight.kind is Kind.ENDED:
            if sight.how == 'done':
                done.add(sight.task)
            elif sight.how == 'failed':
                whole = _unit(jobs, sight.task)
                place = sight.place if whole == sight.task else ''
                failed[whole].add((place, sight.attempt))
        elif sight.kind is Kind.HANDED_IN and sight.how == '200':
            accepted.add(sight.job)
        elif sight.kind in (Kind.CANCELLED, Kind.CANCEL_IN_DOUBT):
            cancelled.add(sight.job)
        elif sight.kind is Kind.SHOWN:
            yield from _shown_once(
                sight,
                jobs,
                done,
                failed,
                crashed,
                accepted,
                cancelled,
                max_attempts,
            )


def _crashed_under(evidence):
    """Give when executors crashed under the tasks of jobs that crash some.

    A task that was there as well, of a job that crashes none, is no cause.
    """
    there = collections.defaultdict(set)
    crashed = collections.defaultdict(list)
    guilty = set()
    for sight in evidence.sights:
        if sight.kind is Kind.STARTED:
            there[sight.place].add(sight.task)
        elif sight.kind is Kind.ENDED:
            there[sight.place].discard(sight.task)
        elif sight.kind is Kind.DIED:
            there.pop(sight.place, None)
        elif sight.kind is Kind.CRASHED:
            guilty.add(sight.job)
            for task in there[sight.place]:
                crashed[task].append(sight.at_s)
    return {
        task: times
        for task, times in crashed.items()
        if task.partition('.')[0] in guilty
    }


def _shown_once(
    sight, jobs, done, failed, crashed, accepted, cancelled, max_attempts
):
    job = sight.job
    names = {
        f'{job}.{occurrence}.{number}.{index}'
        for occurrence in range(max(1, jobs[job].get('repeat_count', 0)))
        for number, step in enumerate(jobs[job]['phases'])
        for index in range(step['count'])
    }
    where = f'at {sight.at_s:.2f}: {job}'
    if sight.how == 'completed' and names - done:
        yield f'MIXED {where} is shown as completed'
    if sight.how == 'failed' and not any(
        len(failed[_unit(jobs, name)]) >= max_attempts
        or sum(at_s <= sight.at_s for at_s in crashed.get(name, ()))
        >= CRASHES_TO_GIVE_UP
        for name in names
    ):
        yield f'LOST {where} is shown as failed without cause'
    if sight.how == 'cancelled' and job not in cancelled:
        yield f'LOST {where} is shown as cancelled without cause'
    if sight.how == '410' and job in accepted and job not in cancelled:
        yield f'LOST {where} is not known any more'


def _asked(evidence):
    """Nothing runs that was refused, or long after it was cancelled.

    The bound in time isn't for orders that were carried out late.
    """
    sent = set()
    answers = collections.defaultdict(list)
    cancelled = {}
    started = {}
    for sight in evidence.sights:
        if sight.kind is Kind.HANDED_IN:
            if sight.how == 'sent':
                sent.add(sight.job)
            else:
                answers[sight.job].append(sight.how)
        elif sight.kind is Kind.CANCELLED:
            cancelled.setdefault(sight.job, sight.at_s)
        elif sight.kind is Kind.STARTED:
            started[sight.job] = sight.at_s
            if sight.job not in sent:
                yield f'UNASKED at {sight.at_s:.2f}: {sight.task}'
            at_s = cancelled.get(sight.job)
            if sight.how == 'late' or at_s is None:
                continue
            if sight.at_s > at_s + CANCEL_S:
                yield f'UNASKED at {sight.at_s:.2f}: {sight.task}'
    for job in started:
        if set(answers[job]) <= {'429', '503'}:
            yield f'REFUSED: {job} runs, but each try was refused'


def _with_touch(evidence):
    """Give each sight, and whether nothing keeps servers from the store."""
    deaf = 0
    hears_s = -math.inf
    for sight in evidence.sights:
        if sight.kind is Kind.DEAF:
            deaf += 1 if sight.how == 'begin' else -1
            hears_s = sight.at_s
        yield sight, not deaf and sight.at_s - hears_s >= HEARD_S


def _drained(evidence):
    """Nothing starts on an executor some time after its notice.

    Orders that were carried out late don't count, nor those of servers that
    weren't in touch: by the platform's rule, until some time after whatever
    kept them from hearing of changes in the store.
    """
    notice = {}
    for sight, in_touch in _with_touch(evidence):
        if sight.kind is Kind.DRAINING:
            notice.setdefault(sight.place, sight.at_s)
        elif sight.kind is Kind.STARTED and sight.place in notice:
            if sight.how == 'late' or not in_touch:
                continue
            if sight.at_s > notice[sight.place] + DRAIN_S:
                yield f'DRAIN at {sight.at_s:.2f}: {sight.task}'


def _spoiled(evidence):
    """Nothing starts on an executor some time after its entry was spoiled."""
    since = {}
    deaf = 0
    hears_s = 0.0
    for sight in evidence.sights:
        if sight.kind is Kind.DEAF:
            deaf += 1 if sight.how == 'begin' else -1
            hears_s = sight.at_s
        elif sight.kind is Kind.SPOILED:
            since[sight.place] = sight.at_s
        elif sight.kind is Kind.MENDED:
            since.pop(sight.place, None)
        elif sight.kind is Kind.STARTED and sight.place in since:
            heard_s = max(since[sight.place], hears_s) + HEARD_S
            if not deaf and sight.at_s > heard_s:
                yield f'SPOILED at {sight.at_s:.2f}: {sight.task}'


def _maintained(evidence, most_down, maintenance_s):
    """Not more machines of a wave are down at once than may be."""
    begun = collections.defaultdict(list)
    for sight in evidence.sights:
        if sight.kind is Kind.MAINTAINED:
            rows = begun[sight.attempt]
            rows.append(sight.at_s)
            down = sum(at > sight.at_s - maintenance_s for at in rows)
            if down > most_down[sight.attempt]:
                yield f'LIMIT at {sight.at_s:.2f}: {down} machines down'


def _turns(evidence):
    """Two leaders don't order one machine in quick succession.

    Orders that are delivered after their sender has reset the connection don't
    count: a real network loses them.
    """
    last = {}
    for sight in evidence.sights:
        if sight.kind is not Kind.ORDERED or sight.how == 'late':
            continue
        before = last.get(sight.place)
        last[sight.place] = sight
        if before is None or before.by == sight.by:
            continue
        if sight.attempt <= before.attempt:
            yield f'ONE at {sight.at_s:.2f}: {sight.place}, an older term'
        if sight.at_s - before.at_s < TURN_S:
            yield (
                f'ONE at {sight.at_s:.2f}: {sight.place} by {sight.by}, '
                f'{sight.at_s - before.at_s:.2f} s after {before.by}'
            )


def _away(evidence, jobs):
    """No order of ours ends a task that lasts while too many are away.

    One is away while an order of ours keeps it so, or after a while for any
    cause.
    """
    working = collections.defaultdict(dict)
    missing = {}
    for sight in evidence.sights:
        if sight.kind is Kind.STARTED:
            working[sight.place][sight.task] = sight.at_s
            missing.pop(sight.task, None)
        elif sight.kind is Kind.ENDED:
            working[sight.place].pop(sight.task, None)
            by_us = sight.how == 'stopped'
            missing.setdefault(sight.task, (sight.at_s, by_us))
        elif sight.kind is Kind.DIED:
            ended = working.pop(sight.place, {})
            if sight.how == 'order':
                yield from _ended_by_order(sight, ended, missing, jobs)
            for task in ended:
                missing[task] = (sight.at_s, sight.how == 'order')


def _ended_by_order(sight, ended, missing, jobs):
    groups = collections.Counter(
        task.rpartition('.')[0]
        for task in ended
        if _step(jobs, task).get('long_running')
    )
    for group, here in groups.items():
        step = _step(jobs, f'{group}.0')
        away = sum(
            by_us or sight.at_s - at_s >= NOTICE_S
            for task, (at_s, by_us) in missing.items()
            if task.rpartition('.')[0] == group
        )
        if away + here > max(1, step.get('may_miss', 0)):
            yield (
                f'AVAIL at {sight.at_s:.2f}: {here} of {group} are ended, '
                f'{away} are away'
            )
