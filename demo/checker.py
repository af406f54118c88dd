"""Access to the check of a run's evidence against what must always hold."""

import collections
import collections.abc
import dataclasses
import enum

from demo import callers
from demo import evidence as evidences
from demo import losses
from oleanderwood import verdict as verdicts

NOT_RUN = verdicts.Verdict.NOT_RUN.value
VERDICTS = {verdict.value for verdict in verdicts.Verdict}
PLANNED_ORDERS = ('drain', 'reboot', 'replace')


class Rule(enum.Enum):
    """What must always hold; the value says how it was broken."""

    ACCOUNTED = 'a request ended without a verdict'
    NOT_RUN = 'a request that was said not to have run did run'
    AT_MOST_ONCE = 'a request that is not idempotent ran twice'
    OWN_ANSWER = "an answer was cut, or another's, but passed as whole"
    ANSWER_OF_RUN = 'an answer came to a request that never ran'
    BODY = 'a request reached its upstream with another body'
    ONE_POOL = 'a VM was in two pools'
    EPOCH = 'the epoch of a VM did not grow with a change'
    GRANT = 'work was sent under a grant that never was'
    LEAVING = 'new work came to a leaving VM after the bound'
    ORDERED = 'new work came to a VM that was ordered to stop'
    PLANNED_STOP = 'a planned stop cut a request'
    MIN_UP = 'a planned step took a pool below its promise'
    REVERTED = 'the configuration reverted'
    IN_FORCE = 'a configuration was not in force in time'
    EARLY = 'a configuration was in force before it was accepted'
    TASK = 'a task was started while it ran elsewhere'


@dataclasses.dataclass(frozen=True)
class Breach:
    """One thing that should never have been seen."""

    rule: Rule
    detail: str

    def __str__(self) -> str:
        return f'{self.rule.name}: {self.rule.value}: {self.detail}'


@dataclasses.dataclass
class Report:
    """What the check found.

    :ivar outcomes: attempts by status or verdict
    :ivar latest_work_s: longest that new work came after a VM began to
        leave; negative if none came later
    :ivar in_force_s: longest that a configuration took
    """

    breaches: list[Breach] = dataclasses.field(default_factory=list)
    outcomes: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    requests: int = 0
    latest_work_s: float = 0.0
    in_force_s: float = 0.0
    least_up: dict[str, int] = dataclasses.field(default_factory=dict)


def check(seen: evidences.Evidence) -> Report:
    """Check all rules."""
    report = Report()
    report.requests = len({attempt.key for attempt in seen.attempts})
    for part in PARTS:
        report.breaches += part(seen, report)
    return report


Breaches = collections.abc.Iterator[Breach]


def _attempts(seen: evidences.Evidence, report: Report) -> Breaches:
    for attempt in seen.attempts:
        report.outcomes[_outcome(attempt)] += 1
        if not _accounted(attempt):
            yield Breach(Rule.ACCOUNTED, _told(attempt))
        answered = attempt.status == 200 and attempt.whole
        if answered and not attempt.own:
            yield Breach(Rule.OWN_ANSWER, _told(attempt))


def _outcome(attempt: callers.Attempt) -> str:
    if attempt.status == 200 and attempt.whole:
        return 'answered'
    return attempt.verdict or f'status-{attempt.status}'


def _accounted(attempt: callers.Attempt) -> bool:
    if not attempt.end_s:
        return False
    if attempt.status == 200 and attempt.whole:
        return True
    return attempt.verdict in VERDICTS


def _told(attempt: callers.Attempt) -> str:
    return (
        f'{attempt.nonce} {attempt.path} status={attempt.status} '
        f'verdict={attempt.verdict or "none"} whole={attempt.whole} '
        f'{attempt.reason or attempt.refusal}'
    )


def _runs(seen: evidences.Evidence, report: Report) -> Breaches:
    runs: dict[str, list[evidences.UpstreamRequest]] = {}
    for request in seen.requests:
        if request.ran:
            runs.setdefault(request.nonce, []).append(request)
    by_key: dict[str, list[callers.Attempt]] = {}
    for attempt in seen.attempts:
        by_key.setdefault(attempt.key, []).append(attempt)
        yield from _runs_of(attempt, runs.get(attempt.nonce, []))
    for key, attempts in by_key.items():
        count = sum(len(runs.get(a.nonce, [])) for a in attempts)
        if count > 1 and not attempts[0].idempotent:
            detail = '; '.join(
                f'{_told(a)} ran as {[r.request for r in runs[a.nonce]]}'
                if a.nonce in runs
                else _told(a)
                for a in attempts
            )
            yield Breach(Rule.AT_MOST_ONCE, f'{count} times: {detail}')
        answered = any(a.status == 200 and a.whole for a in attempts)
        if answered and not count:
            yield Breach(Rule.ANSWER_OF_RUN, key)


def _runs_of(
    attempt: callers.Attempt, runs: list[evidences.UpstreamRequest]
) -> Breaches:
    if attempt.verdict == NOT_RUN and runs:
        yield Breach(Rule.NOT_RUN, f'{_told(attempt)} on {runs[0].vm}')
    for run in runs:
        if run.body_sha256 != attempt.body_sha256:
            yield Breach(Rule.BODY, _told(attempt))


def _rows(seen: evidences.Evidence, report: Report) -> Breaches:
    epochs: dict[str, evidences.Row] = {}
    for write, _, after in evidences.fleets(seen.writes):
        places = collections.Counter(
            vm for rows in after.shards.values() for vm in rows
        )
        for vm, count in places.items():
            if count > 1:
                yield Breach(Rule.ONE_POOL, f'{vm} in {count} shards')
        for vm, row in after.shards[write.key].items():
            known = epochs.get(vm, row)
            if known != row and row.epoch <= known.epoch:
                yield Breach(Rule.EPOCH, f'{vm}: {known} then {row}')
            epochs[vm] = row


def _pools_at_upstreams(seen: evidences.Evidence, report: Report) -> Breaches:
    latest: dict[str, evidences.UpstreamRequest] = {}
    for request in sorted(seen.requests, key=lambda r: r.at_s):
        other = latest.get(request.vm)
        if other is not None and other.end_s > request.at_s:
            if other.pool != request.pool:
                detail = f'{request.vm}: {other.pool} and {request.pool}'
                yield Breach(Rule.ONE_POOL, detail)
        if other is None or request.end_s >= other.end_s:
            latest[request.vm] = request


def _grants(seen: evidences.Evidence, report: Report) -> Breaches:
    stays = evidences.stays(seen.writes)
    serving = {
        (vm, stay.row.pool, str(stay.row.epoch)): stay
        for vm, of_vm in stays.items()
        for stay in of_vm
        if stay.row.state == evidences.SERVING
    }
    for request in seen.requests:
        stay = serving.get((request.vm, request.pool, request.epoch))
        told = f'{request.nonce} on {request.vm} in {request.pool}'
        if stay is None or request.at_s < stay.start_s:
            yield Breach(Rule.GRANT, f'{told}, epoch {request.epoch}')
            continue
        late_s = request.at_s - stay.end_s
        report.latest_work_s = max(report.latest_work_s, late_s)
        if late_s > seen.leaving_s:
            yield Breach(Rule.LEAVING, f'{told}: {late_s:.2f} s after')


def _orders(seen: evidences.Evidence, report: Report) -> Breaches:
    ends = {attempt.nonce: attempt.end_s for attempt in seen.attempts}
    stays = evidences.stays(seen.writes)
    by_vm: dict[str, list[evidences.UpstreamRequest]] = {}
    for request in seen.requests:
        by_vm.setdefault(request.vm, []).append(request)
    for event in seen.events:
        if event.kind not in PLANNED_ORDERS:
            continue
        back_s = _next_serving_s(stays.get(event.vm, []), event.at_s)
        for request in by_vm.get(event.vm, []):
            if event.at_s <= request.at_s < back_s:
                detail = f'{request.nonce} on {event.vm}: {event.kind}'
                yield Breach(Rule.ORDERED, detail)
            if _cut(request, event, ends):
                detail = f'{request.nonce} on {event.vm}: {event.kind}'
                yield Breach(Rule.PLANNED_STOP, detail)


def _next_serving_s(stays: list[evidences.Stay], at_s: float) -> float:
    for stay in stays:
        if stay.start_s >= at_s and stay.row.state == evidences.SERVING:
            return stay.start_s
    return float('inf')


def _cut(
    request: evidences.UpstreamRequest,
    event: evidences.PlatformEvent,
    ends: dict[str, float],
) -> bool:
    """Say whether an order found a request whose caller still waited."""
    open_there = request.at_s < event.at_s < request.end_s
    return open_there and ends.get(request.nonce, 0.0) > event.at_s


def _min_up(seen: evidences.Evidence, report: Report) -> Breaches:
    failures = losses.of(seen.events)
    for write, before, after in evidences.fleets(seen.writes):
        left = _left(write, before, after)
        for pool in left & seen.min_up.keys():
            up = _up(after, pool, failures, write.at_s)
            least = report.least_up.get(pool, up)
            report.least_up[pool] = min(up, least)
            if up < seen.min_up[pool]:
                promised = seen.min_up[pool]
                yield Breach(Rule.MIN_UP, f'{pool}: {up} of {promised}')


def _left(
    write: evidences.StoreWrite,
    before: evidences.Fleet,
    after: evidences.Fleet,
) -> set[str]:
    """Give the pools that a write took a serving VM out of by plan."""
    now = after.shards[write.key]
    return {
        row.pool
        for vm, row in before.shards.get(write.key, {}).items()
        if row.state == evidences.SERVING
        and vm in now
        and now[vm].state not in (evidences.SERVING, 'broken')
    }


def _up(
    fleet: evidences.Fleet,
    pool: str,
    failures: dict[str, losses.Changes],
    at_s: float,
) -> int:
    """Count the VMs that serve a pool, but for those known to be lost."""
    return sum(
        row.pool == pool
        and row.state == evidences.SERVING
        and not losses.known(failures.get(vm, []), at_s)
        for rows in fleet.shards.values()
        for vm, row in rows.items()
    )


def _heads(seen: evidences.Evidence, report: Report) -> Breaches:
    newest = 0
    for _, revision in _accepted(seen):
        if revision <= newest:
            yield Breach(Rule.REVERTED, f'head {newest} then {revision}')
        newest = max(newest, revision)


def _accepted(seen: evidences.Evidence) -> list[tuple[float, int]]:
    """Give when each revision was accepted."""
    return [
        (write.at_s, (evidences.body_of(write) or {'revision': 0})['revision'])
        for write in seen.writes
        if write.key == evidences.HEAD_KEY
    ]


def _probes(seen: evidences.Evidence, report: Report) -> Breaches:
    accepted: dict[int, float] = {}
    for at_s, revision in _accepted(seen):
        accepted.setdefault(revision, at_s)
    newest: dict[str, int] = {}
    for probe in sorted(seen.probes, key=lambda p: p.start_s):
        told = f'{probe.entry} followed {probe.revision}'
        if probe.revision < newest.get(probe.entry, 0):
            detail = f'{told} after {newest[probe.entry]}'
            yield Breach(Rule.REVERTED, detail)
        newest[probe.entry] = max(probe.revision, newest.get(probe.entry, 0))
        for revision, at_s in accepted.items():
            late_s = probe.start_s - at_s
            if probe.revision < revision and late_s > 0:
                report.in_force_s = max(report.in_force_s, late_s)
                if late_s > seen.in_force_s:
                    detail = f'{told}, {revision} is {late_s:.1f} s old'
                    yield Breach(Rule.IN_FORCE, detail)
            if probe.revision == revision and at_s > probe.end_s:
                yield Breach(Rule.EARLY, told)


def _tasks(seen: evidences.Evidence, report: Report) -> Breaches:
    for event in seen.events:
        if event.kind == 'task-start' and event.running_on:
            detail = f'{event.task} on {event.running_on} and {event.vm}'
            yield Breach(Rule.TASK, detail)


PARTS = (
    _attempts,
    _runs,
    _rows,
    _pools_at_upstreams,
    _grants,
    _orders,
    _min_up,
    _heads,
    _probes,
    _tasks,
)
