"""The rules on tenants, checked from what was seen outside the product."""

import collections.abc
import math

from emulator import evidence as evidences
from emulator import tenancy as tenancies

REVOKE_S = 5.0
"""Time after which no server serves a key that was taken away."""

HEARD_S = 3.0
"""Time after which servers in touch have heard of a configuration."""

STRETCH_S = 8.0
"""Time for which an earlier configuration may be in force at some server."""

OVERAGE = 0.1
"""Part by which a tenant may pass its limit, beside one task."""

REFUSED = (401, 403)

Spans = list[tuple[float, float]]


def check(
    tenancy: tenancies.Tenancy,
    evidence: evidences.Evidence,
    jobs: dict[str, dict],
) -> list[str]:
    """Give all breaches, as sentences; no key stands in them."""
    return [
        *_never_held(tenancy),
        *_taken_away(tenancy),
        *_refused(tenancy, _deaf_spans(evidence)),
        *_above_limits(tenancy, evidence, jobs),
    ]


def _never_held(tenancy: tenancies.Tenancy) -> collections.abc.Iterator[str]:
    """No call is answered whose key no configuration held, or another's."""
    held = frozenset().union(*(row.keys for row in tenancy.versions))
    for call in tenancy.calls:
        if call.status != 200:
            continue
        if call.key not in held:
            yield f'ROUTE at {call.sent_s:.2f}: {call.method}, a strange key'
        elif not call.own:
            yield f"ROUTE at {call.sent_s:.2f}: {call.method}, another's job"


def _taken_away(tenancy: tenancies.Tenancy) -> collections.abc.Iterator[str]:
    """No call is answered that was sent long after its key was taken away."""
    for call in tenancy.calls:
        if call.status != 200:
            continue
        since_s = _gone_since_s(tenancy, call.key, call.sent_s)
        if call.sent_s > since_s + REVOKE_S:
            yield (
                f'CONFIG at {call.sent_s:.2f}: {call.method}, with a key that '
                f'was taken away at {since_s:.2f}'
            )


def _gone_since_s(
    tenancy: tenancies.Tenancy, key: str, sent_s: float
) -> float:
    """Give since when no configuration holds a key, as of a call's sending."""
    since_s = math.inf
    held = False
    for version in tenancy.versions:
        if version.at_s > sent_s:
            break
        if key in version.keys:
            held, since_s = True, math.inf
        elif held:
            held, since_s = False, version.at_s
    return since_s


def _refused(
    tenancy: tenancies.Tenancy, deaf: Spans
) -> collections.abc.Iterator[str]:
    """Servers in touch refuse no key that has been good for a while.

    One that is taken away before the answer may be refused: a server that was
    suspended answers seconds later, by what holds then.
    """
    for call in tenancy.calls:
        if call.status not in REFUSED or not call.own:
            continue
        begin_s = call.sent_s - HEARD_S
        if any(begin <= call.sent_s and end >= begin_s for begin, end in deaf):
            continue
        rows = [
            row
            for number, row in enumerate(tenancy.versions)
            if row.at_s <= max(call.sent_s, call.answered_s)
            and (
                number + 1 == len(tenancy.versions)
                or tenancy.versions[number + 1].at_s >= begin_s
            )
        ]
        if rows and all(call.key in row.keys for row in rows):
            yield f'CONFIG at {call.sent_s:.2f}: {call.method}, a good key'


def _deaf_spans(evidence: evidences.Evidence) -> Spans:
    """Give when servers may not have heard of changes in the store."""
    spans: Spans = []
    deaf = 0
    for sight in evidence.sights:
        if sight.kind is not evidences.Kind.DEAF:
            continue
        if sight.how == 'begin':
            if not deaf:
                spans.append((sight.at_s, math.inf))
            deaf += 1
        else:
            deaf -= 1
            if not deaf:
                spans[-1] = (spans[-1][0], sight.at_s)
    return spans


def _above_limits(
    tenancy: tenancies.Tenancy,
    evidence: evidences.Evidence,
    jobs: dict[str, dict],
) -> collections.abc.Iterator[str]:
    """No start brings a tenant above its limit, a tenth and a task more."""
    there: dict[str, dict[str, int]] = {}
    used: dict[str, int] = {}

    def end(place: str, task: str) -> None:
        cpu = there.get(place, {}).pop(task, 0)
        tenant = tenancy.owner.get(task.partition('.')[0], '')
        used[tenant] = used.get(tenant, 0) - cpu

    for sight in evidence.sights:
        if sight.kind is evidences.Kind.STARTED:
            step = int(sight.task.split('.')[2])
            cpu = jobs[sight.job]['phases'][step]['cpu']
            tenant = tenancy.owner.get(sight.job, '')
            before = used.get(tenant, 0)
            end(sight.place, sight.task)
            there.setdefault(sight.place, {})[sight.task] = cpu
            used[tenant] = used.get(tenant, 0) + cpu
            most = _highest_limit(tenancy, tenant, sight.at_s - STRETCH_S)
            if before > most * (1 + OVERAGE):
                yield (
                    f'QUOTA at {sight.at_s:.2f}: {sight.task} of {tenant}, '
                    f'which has {before} running of {most:.0f}'
                )
        elif sight.kind is evidences.Kind.ENDED:
            end(sight.place, sight.task)
        elif sight.kind is evidences.Kind.DIED:
            for task in list(there.get(sight.place, {})):
                end(sight.place, task)


def _highest_limit(
    tenancy: tenancies.Tenancy, tenant: str, since_s: float
) -> float:
    """Give the highest limit that was in force at any moment since a time."""
    highest = -math.inf
    for number, version in enumerate(tenancy.versions):
        later = tenancy.versions[number + 1 : number + 2]
        if later and later[0].at_s < since_s:
            continue
        highest = max(highest, version.limits.get(tenant, 0) or math.inf)
    return highest if highest > -math.inf else math.inf
