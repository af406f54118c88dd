"""Chooses what goes first in a pool that can't serve all that waits. Pure.

Designed for a burst beyond a pool's capacity. Jobs that can end in time behind
each other go first; work that is too late or beyond its tenant's rate has a
small part of the pool, so that it ends.
"""

import collections.abc
import dataclasses

from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import queues
from oleanderwood.pools import feasibility
from oleanderwood.pools import lengths as lengths_
from oleanderwood.pools import urgency
from oleanderwood.pools import workers as workers_
from oleanderwood.tenants import usage as usage_


BEGUN_MARGIN = 0.8
"""The same for jobs that have begun. What they have had would be wasted, so
they are given up only when they are almost certain to end late."""


LAST_TIER_DIVISOR = 8
"""Work that is too late or beyond its tenant's rate gets at least one core in
this many while other work waits, so that all accepted work ends."""


TOO_LATE_PART = 0.25
"""Part of these cores that goes to work that is too late, oldest first, before
the other work in question. Without it, a tenant that stays beyond its rate
would keep such work waiting for ever."""


@dataclasses.dataclass(frozen=True)
class Ordering:
    """What the order of work in a burst depends on besides the jobs.

    :ivar workers: workers by pool
    :ivar usage: what tenants have used recently
    :ivar weights: weight by tenant
    :ivar bursts: pools that can't serve all that waits, filled in as they are
        ordered
    """

    workers: collections.abc.Mapping[ids.ServiceId, list[workers_.Worker]]
    usage: usage_.Usage = dataclasses.field(default_factory=usage_.Usage)
    weights: usage_.Weights = dataclasses.field(default_factory=dict)
    bursts: dict[ids.ServiceId, 'Burst'] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True)
class Burst:
    """Work of a pool that can't serve all that waits at once.

    :ivar chosen: jobs that can end in time behind each other
    :ivar waiting: number of jobs that have waiting work
    :ivar cores: cores of the pool that are not used by long-running tasks
    :ivar last_cores: the part of them that runs of the last tiers use
    :ivar too_late_cores: the part that runs of jobs use that are too late
    """

    chosen: set[ids.JobId]
    waiting: int
    cores: float
    last_cores: float
    too_late_cores: float


def find_burst(
    ordering: Ordering,
    service: ids.ServiceId,
    groups: list[ledgers.Group],
    due: list[ledgers.Group],
    known: dict[str, queues.Queue],
    lengths: lengths_.Lengths,
    now_s: float,
    ledger: ledgers.Ledger,
) -> Burst | None:
    """Choose the jobs that can end in time; None if all fits at once."""
    pool = ordering.workers.get(service, [])
    asked_cores = sum(map(feasibility.cores_of, groups))
    if asked_cores <= feasibility.free_cores(pool, now_s):
        return None
    supply = feasibility.supply(pool, lengths, now_s)
    claims, beyond = _claims(due, known, lengths, now_s, ledger, ordering)
    chosen = _choose(claims, beyond, supply, now_s)
    last_cores, too_late_cores = _last_tier_cores(pool, known, lengths, now_s)
    burst = Burst(
        chosen,
        len(claims) + len(beyond),
        supply.cores,
        last_cores,
        too_late_cores,
    )
    ordering.bursts[service] = burst
    return burst


def _choose(
    claims: list[feasibility.Claim],
    beyond: list[feasibility.Claim],
    supply: feasibility.Supply,
    now_s: float,
) -> set[ids.JobId]:
    """Choose the jobs that can end in time.

    :param beyond: claims beyond tenants' rates, which are served behind all
        others, or with the cores that they get in any case
    """
    reserved_cores = supply.cores / LAST_TIER_DIVISOR if beyond else 0.0
    chosen = feasibility.choose(
        claims,
        supply.cores - reserved_cores,
        now_s,
        supply.ahead_core_s - supply.beyond_ahead_core_s,
    )
    if not beyond:
        return chosen
    work_core_s = sum(row.work_core_s for row in claims if row.job in chosen)
    behind = feasibility.choose(
        beyond, supply.cores, now_s, supply.ahead_core_s + work_core_s
    )
    reserved = feasibility.choose(
        beyond, reserved_cores, now_s, supply.beyond_ahead_core_s
    )
    return chosen | max(behind, reserved, key=len)


def _last_tier_cores(
    pool: list[workers_.Worker],
    known: dict[str, queues.Queue],
    lengths: lengths_.Lengths,
    now_s: float,
) -> tuple[float, float]:
    """Return the cores that runs of the last tiers use.

    :return: cores of all of them, and of those whose jobs are too late
    """
    last_cores = too_late_cores = 0.0
    too_late: dict[ledgers.Entry, bool] = {}
    for task in feasibility.batch_runs(pool, now_s):
        entry = task.group.entry
        if entry not in too_late:
            queue = urgency.queue_of(entry, known)
            too_late[entry] = urgency.is_too_late(entry, queue, lengths, now_s)
        cores = task.group.step.needs.cpu_millicores / 1000
        if too_late[entry]:
            too_late_cores += cores
        if too_late[entry] or entry.over_rate:
            last_cores += cores
    return last_cores, too_late_cores


def with_last_tier(
    rows: list[tuple[tuple, ledgers.Group]],
    ordered: list[ledgers.Group],
    burst: Burst,
) -> list[ledgers.Group]:
    """Move work of the last tiers forward that is due its part of the pool.

    A part of that is for jobs that are too late, the rest in the order of the
    tiers.
    """
    reserved_cores = burst.cores / LAST_TIER_DIVISOR
    tiers = {group: key[1] for key, group in rows if key[0]}
    last = [
        group
        for group in ordered
        if tiers.get(group, 0) >= urgency.Tier.BEYOND_RATE_IN_TIME
    ]
    if not last:
        return ordered
    too_late = [
        group for group in last if tiers[group] == urgency.Tier.TOO_LATE
    ]
    too_late.sort(key=lambda group: group.entry.arrived_s)
    moved, cores = _up_to(
        too_late, burst.too_late_cores, TOO_LATE_PART * reserved_cores
    )
    first = dict.fromkeys(moved)
    others = [group for group in last if group not in first]
    used_cores = burst.last_cores + cores - burst.too_late_cores
    moved, _cores = _up_to(others, used_cores, reserved_cores)
    first.update(dict.fromkeys(moved))
    lasting = [row for row in ordered if row.step.is_long_running]
    rest = [
        row
        for row in ordered
        if row not in first and not row.step.is_long_running
    ]
    return [*lasting, *first, *rest]


def _up_to(
    groups: list[ledgers.Group], used_cores: float, reserved_cores: float
) -> tuple[list[ledgers.Group], float]:
    """Return the first groups that reserved cores suffice for.

    A group is included if that comes closer to the reserved number, or if
    nothing uses it.

    :return: the groups, and the cores in use after their start
    """
    found = []
    for group in groups:
        cores = feasibility.cores_of(group)
        if used_cores and used_cores + cores / 2 > reserved_cores:
            break
        used_cores += cores
        found.append(group)
    return found, used_cores


def running_cores(ledger: ledgers.Ledger) -> dict[ids.TenantId, float]:
    """Return the cores that each tenant's running tasks use."""
    return {
        tenant: row.cpu_millicores / 1000
        for tenant, row in ledger.running.items()
    }


def _claims(
    groups: list[ledgers.Group],
    known: dict[str, queues.Queue],
    lengths: lengths_.Lengths,
    now_s: float,
    ledger: ledgers.Ledger,
    ordering: Ordering,
) -> tuple[list[feasibility.Claim], list[feasibility.Claim]]:
    """Return the claims of a pool's jobs, and of those beyond tenants' rates.

    Steps that wait for earlier ones count too: their job is to end in time,
    not just its next step.
    """
    by_entry: dict[ledgers.Entry, list[ledgers.Group]] = {}
    for group in groups:
        by_entry.setdefault(group.entry, []).append(group)
    work_core_s = {
        entry: feasibility.work_core_s(rows, lengths)
        for entry, rows in by_entry.items()
    }
    asked_core_s: dict[ids.TenantId, float] = {}
    for entry, core_s in work_core_s.items():
        tenant = entry.job.tenant
        asked_core_s[tenant] = asked_core_s.get(tenant, 0.0) + core_s
    share_of = usage_.over_share(
        ordering.usage,
        running_cores(ledger),
        ordering.weights,
        asked_core_s,
    )
    before_core_s = dict.fromkeys(asked_core_s, 0.0)
    claims: list[feasibility.Claim] = []
    beyond: list[feasibility.Claim] = []
    for entry, rows in by_entry.items():
        tenant = entry.job.tenant
        queue = urgency.queue_of(entry, known)
        begun = ledgers.has_begun(entry)
        claim = feasibility.Claim(
            entry.job.job,
            work_core_s[entry],
            feasibility.chain_s(
                rows,
                lengths,
                BEGUN_MARGIN if begun else urgency.LATENESS_MARGIN,
            ),
            entry.arrived_s + urgency.objective_s(entry, queue, lengths),
            queue.priority,
            share_of(tenant, before_core_s[tenant]),
            begun,
        )
        (beyond if entry.over_rate else claims).append(claim)
        before_core_s[tenant] += work_core_s[entry]
    return claims, beyond
