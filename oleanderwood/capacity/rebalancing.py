"""Choose machines to move between pools ahead of their demand.

One pool after another needs more than its share for some seconds. Idle
machines move to where they will be needed, or to standby, where they cost
nothing, if no burst is near. The functions have no side effects.
"""

import collections.abc
import dataclasses
import math

from oleanderwood.capacity import backlog
from oleanderwood.capacity import contention
from oleanderwood.capacity import demand
from oleanderwood.capacity import draining
from oleanderwood import ids
from oleanderwood.policy import model as policies
from oleanderwood.pools import workers as workers_

USABLE_CORES_SHARE = 0.9
"""Share of a machine's cores that tasks of mixed sizes can fill."""

BURST_LEAD_S = 0.4
"""How long before a predicted burst its machines should have arrived."""

FORECAST_SHARE = 1.0
"""Share of the last burst's mean demand that is provided ahead of the next
one; the rest follows the demand. Bursts differ, and a superfluous machine
costs two moves."""

MIN_IDLE_S = 1.0
"""Idle time after which a machine may leave its pool; shorter pauses occur
between two steps of a job."""

KEEP_BEFORE_BURST_S = 4.0
"""A machine isn't sent to standby if its pool's next burst starts within this
time plus that of a move: two moves cost as much as 2.3 s in a pool."""

SPARE_MACHINES = 1
"""Machines beyond its demand that a pool keeps for single arrivals."""

FIRST_BURST_RESERVE_SHARE = 0.5
"""Share of its initial machines that a pool keeps during another's burst until
its own first burst may start; the others are brought back ahead of it."""

RAMP_UP_SIZE_FACTOR = 2.0
"""Expected demand of a burst that can't be measured yet, relative to the
pool's initial machines. Too few machines delay the callers of its first
seconds; too many cost some seconds of a machine."""

PREEMPTED_SHARE = 0.6
"""Share of its need that a pool keeps while a pool of higher priority lacks
machines; tasks that lose no work then make room."""

PEAK_TO_MEAN = 1.5
"""Peak of a burst relative to its mean. Measured arrivals peaked at 1.8 times
their mean, and the work follows them a second later."""

BURST_END_GRACE_S = 1.0
"""Time after a burst's end for which machines stay: a lull looks like an end,
and so does a store that reports nothing for a second."""

BURST_IDLE_S = 2.0
"""Idle time after which a machine leaves a pool during its burst: it wasn't
needed even at the peak of that time, and two moves cost as much as this
wait."""


@dataclasses.dataclass(frozen=True)
class Member:
    """A machine of a pool, or on its way to it.

    :ivar worker: None while the machine is on its way, or off
    :ivar fixed: the machine must not move now
    :ivar unavailable_cores: cores of the machine that its worker can't use at
        present
    """

    machine: str
    cores: float
    worker: workers_.Worker | None
    fixed: bool = False
    labels: tuple[str, ...] = ()
    unavailable_cores: float = 0.0


@dataclasses.dataclass
class PoolView:
    """A pool's machines and its work.

    :ivar busy_cores: cores of running tasks, and of all long-running ones
    :ivar long_running_cores: cores of long-running tasks, included in
        ``busy_cores``
    :ivar late_cores: cores of running tasks that end too late, included in
        ``busy_cores``; known only where pools share the fleet
    :ivar waiting: other tasks that are ready to start
    :ivar first_size: initial number of machines
    :ivar min_up: machines that operators have set as its minimum
    :ivar priority: best priority of its work, long-running tasks excluded
    :ivar lacks_suitable_machine: a step fits on none of its machines even if
        they are idle, or a long-running one fits on none as they are, and
        another machine might suit
    :ivar lacks_labels: labels of steps that fit on none of its machines even
        if they are idle; only a machine with the label might suit, for the
        empty label any machine
    :ivar unsuitable: machines that can't run any of the steps which lack a
        label, by label: they are too small, or the platform's advice refuses
        them
    """

    service: ids.ServiceId
    members: list[Member]
    busy_cores: float = 0.0
    long_running_cores: float = 0.0
    late_cores: float = 0.0
    first_size: int = 0
    min_up: int = 0
    waiting: list[backlog.WaitingTasks] = dataclasses.field(
        default_factory=list
    )
    priority: float = math.inf
    lacks_suitable_machine: bool = False
    lacks_labels: set[str] = dataclasses.field(default_factory=set)
    unsuitable: dict[str, frozenset[str]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True)
class Move:
    """A machine's move to another pool."""

    machine: str
    source: ids.ServiceId
    target: ids.ServiceId
    why: str


@dataclasses.dataclass(frozen=True)
class Need:
    """Number of machines that a pool needs.

    :ivar work: for its present work and for arrivals at the current rate
    :ivar now: also for a step that none of its machines suits
    :ivar soon: also for a burst that is about to start
    """

    work: int
    now: int
    soon: int


@dataclasses.dataclass(frozen=True)
class Decision:
    """The result of a planning pass.

    :ivar needs: machines that each pool needs, at most its grant
    :ivar asked: machines that each pool asks for, while they don't suffice
    :ivar grants: machines that each pool gets, while they don't suffice
    :ivar to_drain: busy machines to drain for pools that lack machines
    """

    moves: list[Move]
    needs: dict[ids.ServiceId, Need]
    to_drain: list[draining.MachineToDrain] = dataclasses.field(
        default_factory=list
    )
    asked: contention.Grants = dataclasses.field(default_factory=dict)
    grants: contention.Grants = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Sharing:
    """How pools share a fleet that does not suffice.

    :ivar previous: grants of the previous pass
    :ivar rules: how machines to drain are chosen
    """

    previous: contention.Grants = dataclasses.field(default_factory=dict)
    rules: draining.Rules = draining.Rules(keeps=True)


def _machines_needed(
    pool: PoolView,
    history: demand.ArrivalHistory,
    machine_cores: float,
    move_s: float,
    now_s: float,
) -> Need:
    pool_history = history.by_pool.get(pool.service)
    cores = pool.busy_cores
    if pool_history is not None:
        arriving = pool.long_running_cores + demand.expected_cores(
            pool_history, now_s
        )
        cores = max(cores, arriving)
    cores += backlog.required_cores(pool.waiting)
    if pool.waiting:
        # While work waits, other machines replace cores that can't be used.
        cores += sum(member.unavailable_cores for member in pool.members)
    usable_cores = machine_cores * USABLE_CORES_SHARE
    if not usable_cores:
        return Need(0, 0, 0)
    now = math.ceil(cores / usable_cores)
    if pool_history is not None and demand.is_ramping_up(pool_history, now_s):
        now = max(now, _ramp_up_machines(pool, history))
    work = now
    if pool.lacks_suitable_machine:
        # Machines come one at a time, and the present ones stay: when sent
        # away as idle, they kept coming back, 26 times in a run of 90 s.
        now = max(now, len(pool.members) + (not _is_incoming(pool.members)))
    soon = 0
    forecast = demand.next_burst(history, pool.service, now_s)
    if forecast is not None and _is_near(
        forecast, now_s, move_s + BURST_LEAD_S
    ):
        if _has_had_no_burst(history, pool.service):
            soon = _ramp_up_machines(pool, history)
        else:
            forecast_cores = (
                pool.long_running_cores
                + FORECAST_SHARE * pool_history.burst_cores
            )
            soon = math.ceil(forecast_cores / usable_cores)
    return Need(work, now, max(now, soon))


def _claim(
    pool: PoolView,
    need: Need,
    history: demand.ArrivalHistory,
    machine_cores: float,
    near_s: float,
    now_s: float,
) -> contention.Claim:
    """Divide what a pool needs by the worth of its work.

    Expected arrivals count in full, and running tasks only beyond them: if
    arrivals counted beyond running tasks, each machine that a pool gives away
    would raise its claim to get it back.
    """
    usable_cores = machine_cores * USABLE_CORES_SHARE
    pool_history = history.by_pool.get(pool.service)
    expected_cores = excess_share = 0.0
    if pool_history is not None:
        expected_cores = demand.expected_cores(pool_history, now_s)
        excess_share = demand.excess_share(pool_history, now_s)
    waiting = backlog.required_by_worth(pool.waiting)
    batch_cores = pool.busy_cores - pool.long_running_cores
    present_cores = max(batch_cores, expected_cores)
    cores = pool.long_running_cores + present_cores + sum(waiting.values())
    # What can't be measured yet, and what replaces cores that can't be used.
    unmeasured = max(0, need.work - math.ceil(cores / usable_cores))
    arriving_cores = (1 - excess_share) * expected_cores
    held_cores = max(0.0, batch_cores - pool.late_cores - arriving_cores)
    rest_cores = present_cores - arriving_cores - held_cores
    late_cores = min(pool.late_cores, rest_cores)
    suitable = pool.lacks_suitable_machine and not _is_incoming(pool.members)
    reserve = need.soon
    if not need.work and pool.members:
        reserve = max(reserve, SPARE_MACHINES)
    if _may_start_first_burst(history, pool.service, near_s, now_s):
        reserve = max(reserve, pool.first_size)
    return contention.Claim(
        pool.service,
        pool.priority,
        held=(pool.long_running_cores + held_cores) / usable_cores,
        assured=(arriving_cores + waiting[backlog.Worth.ASSURED])
        / usable_cores
        + (1 - excess_share) * unmeasured
        + suitable,
        late=(late_cores + waiting[backlog.Worth.LATE]) / usable_cores,
        excess=(rest_cores - late_cores + waiting[backlog.Worth.EXCESS])
        / usable_cores
        + excess_share * unmeasured,
        min_up=pool.min_up,
        unmeasured=unmeasured,
        held_long_running=pool.long_running_cores / usable_cores,
        reserve=max(0.0, reserve - need.work),
    )


def _cap(need: Need, grant: int | None) -> Need:
    """Return a need within a grant.

    Maintenance goes by the work that there is, which a grant doesn't change.
    """
    if grant is None:
        return need
    return Need(need.work, min(need.now, grant), min(need.soon, grant))


def _is_incoming(members: collections.abc.Iterable[Member]) -> bool:
    return any(member.worker is None for member in members)


def _ramp_up_machines(pool: PoolView, history: demand.ArrivalHistory) -> int:
    """Return the expected need for a burst that can't be measured yet.

    Once other bursts were measured, it is expected to be as large as they
    were.
    """
    factor = RAMP_UP_SIZE_FACTOR
    seen = demand.largest_burst_share(history)
    if seen is not None:
        factor = min(factor, max(1.0, PEAK_TO_MEAN * seen))
    return math.ceil(factor * pool.first_size)


def _is_near(
    forecast: demand.BurstForecast, now_s: float, lead_s: float
) -> bool:
    """Return whether a predicted burst is about to start, or should have."""
    begins_s = forecast.earliest_s - lead_s
    return begins_s <= now_s <= forecast.latest_s + demand.RATE_WINDOW_S


def decide(
    pools: collections.abc.Sequence[PoolView],
    standby: dict[ids.ServiceId, list[Member]],
    history: demand.ArrivalHistory,
    move_s: float,
    now_s: float,
    weights: policies.Weights = policies.Weights(),
    sharing: Sharing | None = None,
) -> Decision:
    """Decide on moves.

    Machines go first to pools that lack them now, if necessary from pools that
    keep idle ones for a later burst; then to pools whose burst is about to
    start; then to standby.

    :param sharing: None: each pool keeps what it needs, even if others lack
        machines
    """
    machine_cores = _mean_machine_cores(pools, standby)
    wanted = {
        pool.service: _machines_needed(
            pool, history, machine_cores, move_s, now_s
        )
        for pool in pools
    }
    lead_s = move_s + BURST_LEAD_S
    asked: contention.Grants = {}
    grants: contention.Grants = {}
    if sharing is not None and machine_cores:
        claims = [
            _claim(
                pool,
                wanted[pool.service],
                history,
                machine_cores,
                lead_s,
                now_s,
            )
            for pool in pools
        ]
        grants = contention.allocate(
            claims, _machine_count(pools, standby), sharing.previous
        )
        asked = {row.service: contention.asked(row) for row in claims}
        wanted = {
            service: _cap(need, grants.get(service))
            for service, need in wanted.items()
        }
    free = _Free(
        [
            (service, member)
            for service, members in sorted(standby.items())
            for member in members
            if not member.fixed
        ],
        _idle_surplus(pools, wanted, history, lead_s, now_s, grants),
        [
            _reserve(pool, wanted[pool.service], now_s, grants)
            for pool in pools
        ],
        [] if grants else [_borrowed(pool, now_s) for pool in pools],
    )
    near_s = KEEP_BEFORE_BURST_S * weights.moves / weights.buffer + move_s
    near = {
        pool.service
        for pool in pools
        if _burst_is_near(history, pool.service, near_s, now_s)
    }
    moves = _moves_for_labels(pools, free)
    moves += _moves_for_shortfalls(
        pools,
        {name: need.now for name, need in wanted.items()},
        free,
        set(),
        by_share=bool(grants),
    )
    moves += _moves_for_shortfalls(
        pools, {name: need.soon for name, need in wanted.items()}, free, near
    )
    remaining = {
        pool.service: len(pool.members)
        - sum(move.source == pool.service for move in moves)
        for pool in pools
    }
    if standby:
        target = min(standby)
        for service, member in _to_standby(
            pools, history, free, remaining, near, near_s, now_s
        ):
            moves.append(Move(member.machine, service, target, 'idle'))
            remaining[service] -= 1
    drained = _to_drain(
        pools, wanted, free, remaining, now_s, sharing, bool(grants)
    )
    return Decision(moves, wanted, drained, asked if grants else {}, grants)


def _to_standby(
    pools: collections.abc.Sequence[PoolView],
    history: demand.ArrivalHistory,
    free: '_Free',
    remaining: dict[ids.ServiceId, int],
    near: set[ids.ServiceId],
    near_s: float,
    now_s: float,
) -> list[tuple[ids.ServiceId, Member]]:
    """Choose idle machines that go to standby.

    A pool keeps its initial size while its first burst may start, and a share
    of it before that.

    :param remaining: members of each pool after the moves decided so far
    :param near: pools whose next burst starts within ``near_s``
    """
    spare = dict(remaining)
    for pool in pools:
        if _may_start_first_burst(history, pool.service, near_s, now_s):
            spare[pool.service] -= pool.first_size
        elif _has_had_no_burst(history, pool.service):
            spare[pool.service] -= math.ceil(
                FIRST_BURST_RESERVE_SHARE * pool.first_size
            )
    rows = []
    for service, member in free.idle:
        unneeded = _is_unneeded_in_burst(history, service, member, now_s) or (
            service not in near
            and _may_go_to_standby(history, service, near_s, now_s)
        )
        if unneeded and spare[service] > 0:
            rows.append((service, member))
            spare[service] -= 1
    return rows


def _to_drain(
    pools: collections.abc.Sequence[PoolView],
    wanted: dict[ids.ServiceId, Need],
    free: '_Free',
    remaining: dict[ids.ServiceId, int],
    now_s: float,
    sharing: Sharing | None,
    is_contended: bool,
) -> list[draining.MachineToDrain]:
    """Choose busy machines to drain for pools that got too few idle ones.

    :param remaining: members of each pool after the moves decided so far
    """
    rules = draining.Rules() if sharing is None else sharing.rules
    lacking = {}
    for pool in pools:
        shortfall = _shortfall(pool, wanted[pool.service].now, free)
        if shortfall > 0:
            lacking[pool.service] = shortfall
    best_priority = min(
        (pool.priority for pool in pools if pool.service in lacking),
        default=math.inf,
    )
    surplus = []
    for pool in pools:
        reserved = wanted[pool.service].now
        if not is_contended:
            reserved += SPARE_MACHINES
        if pool.priority > best_priority and not is_contended:
            # In contention, the grants have taken priorities into account.
            reserved = math.ceil(PREEMPTED_SHARE * reserved)
        spare = remaining[pool.service] - max(pool.min_up, reserved)
        surplus.append(draining.Surplus(pool.service, pool.members, spare))
    return draining.decide(surplus, sum(lacking.values()), now_s, rules)


@dataclasses.dataclass
class _Free:
    """Machines that may move: on standby, and idle in their pools.

    :ivar idle: those that their pools can spare
    :ivar reserves: all idle ones; for steps that no other machine can run
    :ivar borrowed: idle ones of pools with more machines than at first
    :ivar incoming: machines already assigned to each pool in this pass
    """

    on_standby: list[tuple[ids.ServiceId, Member]]
    idle: list[tuple[ids.ServiceId, Member]]
    reserves: list['_Reserve'] = dataclasses.field(default_factory=list)
    borrowed: list['_Reserve'] = dataclasses.field(default_factory=list)
    incoming: dict[ids.ServiceId, int] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass
class _Reserve:
    """Idle machines of a pool, beyond its present need.

    :ivar count: how many of them may leave
    """

    service: ids.ServiceId
    idle: list[Member]
    count: int


def _reserve(
    pool: PoolView, need: Need, now_s: float, grants: contention.Grants
) -> _Reserve:
    """Return the idle machines that a pool doesn't need at present.

    They include those that it keeps for single arrivals and a first burst,
    which may never come.
    """
    return _Reserve(
        pool.service,
        _idle_members(pool, now_s, grants),
        surplus(pool, need.now),
    )


def _borrowed(pool: PoolView, now_s: float) -> _Reserve:
    """Return the idle machines of a pool that has more than at first."""
    idle = [
        member
        for member in pool.members
        if _is_movable(member, now_s, 0.0)
        and not any(suits(pool, label, member) for label in pool.lacks_labels)
    ]
    return _Reserve(pool.service, idle, borrowed_count(pool))


def borrowed_count(pool: PoolView) -> int:
    """Return how many machines a pool has beyond those that it had first."""
    return surplus(pool, pool.first_size)


def is_owed(pool: PoolView) -> bool:
    """Return whether a pool lends machines while none left there suits.

    It may take one back for a step without a label, however much the others
    need. Without this, one pool's burst keeps work of another waiting.
    """
    return '' in pool.lacks_labels and len(pool.members) < pool.first_size


def surplus(pool: PoolView, reserved: int) -> int:
    """Return how many machines may leave a pool that keeps ``reserved``."""
    # Machines on their way count as members, but not towards ``min_up``.
    up = sum(member.worker is not None for member in pool.members)
    kept = max(pool.min_up, reserved)
    return max(0, min(len(pool.members) - kept, up - pool.min_up))


def _idle_members(
    pool: PoolView, now_s: float, grants: contention.Grants
) -> list[Member]:
    """Return a pool's machines that may move, longest idle first.

    In contention, one that is idle for a moment may, too: beyond its grant,
    the pool's next tasks go to the machines that remain.
    """
    min_idle_s = 0.0 if pool.service in grants else MIN_IDLE_S
    idle = [
        member
        for member in pool.members
        if _is_movable(member, now_s, min_idle_s)
        and not any(suits(pool, label, member) for label in pool.lacks_labels)
    ]
    return sorted(idle, key=lambda member: member.worker.idle_since_s)


def _shortfall(pool: PoolView, wanted: int, free: _Free) -> int:
    """Return how many machines a pool still needs, beside assigned ones."""
    return wanted - len(pool.members) - free.incoming.get(pool.service, 0)


def _burst_is_near(
    history: demand.ArrivalHistory,
    service: ids.ServiceId,
    near_s: float,
    now_s: float,
) -> bool:
    forecast = demand.next_burst(history, service, now_s)
    return forecast is not None and _is_near(forecast, now_s, near_s)


def _machine_count(
    pools: collections.abc.Sequence[PoolView],
    standby: dict[ids.ServiceId, list[Member]],
) -> int:
    """Return the size of the fleet: machines of pools and on standby."""
    return sum(len(pool.members) for pool in pools) + sum(
        map(len, standby.values())
    )


def _mean_machine_cores(pools, standby) -> float:
    members = [member for pool in pools for member in pool.members]
    members += [member for rows in standby.values() for member in rows]
    if not members:
        return 0.0
    return sum(member.cores for member in members) / len(members)


def _idle_surplus(
    pools: collections.abc.Sequence[PoolView],
    wanted: dict[ids.ServiceId, Need],
    history: demand.ArrivalHistory,
    near_s: float,
    now_s: float,
    grants: contention.Grants,
) -> list[tuple[ids.ServiceId, Member]]:
    """Return idle machines that their pools can spare, longest idle first."""
    rows = []
    for pool in pools:
        reserved = wanted[pool.service].now + SPARE_MACHINES
        if _may_start_first_burst(history, pool.service, near_s, now_s):
            reserved = max(reserved, pool.first_size)
        reserved = min(reserved, grants.get(pool.service, reserved))
        idle = _idle_members(pool, now_s, grants)[: surplus(pool, reserved)]
        rows += [(pool.service, member) for member in idle]
    rows.sort(key=lambda row: row[1].worker.idle_since_s)
    return rows


def _has_had_no_burst(
    history: demand.ArrivalHistory, service: ids.ServiceId
) -> bool:
    """Return whether a pool that has bursts is still before its first."""
    pool_history = history.by_pool.get(service)
    seen = pool_history is not None and bool(pool_history.starts_s)
    return service in history.pools and not seen


def _may_start_first_burst(
    history: demand.ArrivalHistory,
    service: ids.ServiceId,
    near_s: float,
    now_s: float,
) -> bool:
    """Return whether a pool's first burst may start before machines arrive.

    Bursts of pools follow one another: while another pool's burst is recent,
    so that the next one isn't expected yet, the pool's machines may be lent.
    """
    if not _has_had_no_burst(history, service):
        return False
    if history.last_start_s is None:
        return True
    forecast = demand.next_burst(history, service, now_s)
    if forecast is not None:
        return _is_near(forecast, now_s, near_s)
    return not history.by_pool[history.last_burst_pool].in_burst


def _is_movable(member: Member, now_s: float, min_idle_s: float) -> bool:
    worker = member.worker
    if worker is None or member.fixed or worker.runs:
        return False
    if worker.is_reclaimed:
        return True
    idle_s = now_s - worker.idle_since_s
    return workers_.accepts(worker, now_s) and idle_s >= min_idle_s


def _moves_for_labels(
    pools: collections.abc.Sequence[PoolView], free: _Free
) -> list[Move]:
    """Move one machine at a time to each pool for each label that it lacks.

    A machine without the label would be of no use: two pools that each held
    the kind that the other needed waited forever.
    """
    moves = []
    for pool in pools:
        for label in sorted(pool.lacks_labels):
            labelled = [row for row in pool.members if suits(pool, label, row)]
            if _is_incoming(labelled):
                continue
            taken = _take_labelled(free, pool, label)
            if taken is not None:
                source, member = taken
                why = 'labelled' if label else 'needed'
                moves.append(Move(member.machine, source, pool.service, why))
                free.incoming[pool.service] = (
                    free.incoming.get(pool.service, 0) + 1
                )
    return moves


def suits(pool: PoolView, label: str, member: Member) -> bool:
    """Return whether a machine might run a step that lacks a label."""
    if label and label not in member.labels:
        return False
    return member.machine not in pool.unsuitable.get(label, ())


def _take_labelled(
    free: _Free, target: PoolView, label: str
) -> tuple[ids.ServiceId, Member] | None:
    """Take a machine with a label, from standby or idle if possible."""
    for rows in (free.on_standby, free.idle):
        for row in rows:
            if row[0] != target.service and suits(target, label, row[1]):
                rows.remove(row)
                _charge_reserve(free, row)
                return row
    taken = _take_from_reserves(free, free.reserves, target, label)
    if taken is None and not label and is_owed(target):
        taken = _take_from_reserves(free, free.borrowed, target, label)
    return taken


def _take_from_reserves(
    free: _Free, reserves: list[_Reserve], target: PoolView, label: str
) -> tuple[ids.ServiceId, Member] | None:
    """Take a machine that its pool keeps for arrivals or a first burst.

    A step that waits for this machine goes before work that may never come,
    and a machine without the label is no substitute.
    """
    for reserve in reserves:
        if reserve.service == target.service or reserve.count <= 0:
            continue
        for member in reserve.idle:
            if suits(target, label, member):
                row = reserve.service, member
                _charge_reserve(free, row)
                _charge_surplus(free, reserve.service)
                return row
    return None


def _charge_reserve(free: _Free, row: tuple[ids.ServiceId, Member]) -> None:
    """Record that a machine leaves its pool."""
    service, member = row
    for reserve in (*free.reserves, *free.borrowed):
        if reserve.service == service and member in reserve.idle:
            reserve.idle.remove(member)
            reserve.count -= 1


def _charge_surplus(free: _Free, service: ids.ServiceId) -> None:
    """Let a pool that gives one of its reserve spare one machine less."""
    spared = [row for row in free.idle if row[0] == service]
    if spared:
        free.idle.remove(spared[-1])


def _moves_for_shortfalls(
    pools: collections.abc.Sequence[PoolView],
    wanted: dict[ids.ServiceId, int],
    free: _Free,
    protected: set[ids.ServiceId],
    by_share: bool = False,
) -> list[Move]:
    """Move machines to the pools that lack them, the largest shortfall first.

    :param protected: pools that keep their idle machines
    :param by_share: the shortfall counts relative to what is wanted
    """
    shortfalls = {
        pool.service: _shortfall(pool, wanted[pool.service], free)
        for pool in pools
    }
    moves = []
    while shortfalls:
        service = max(
            shortfalls,
            key=lambda name: (
                shortfalls[name] / max(1, wanted[name])
                if by_share
                else shortfalls[name]
            ),
        )
        if shortfalls[service] <= 0:
            break
        taken = _take(free, service, protected)
        if taken is None:
            del shortfalls[service]
            continue
        source, member = taken
        moves.append(Move(member.machine, source, service, 'needed'))
        free.incoming[service] = free.incoming.get(service, 0) + 1
        shortfalls[service] -= 1
    return moves


def _take(
    free: _Free, target: ids.ServiceId, protected: set[ids.ServiceId]
) -> tuple[ids.ServiceId, Member] | None:
    """Take a machine from standby, otherwise an idle one of another pool."""
    if free.on_standby:
        return free.on_standby.pop(0)
    for row in free.idle:
        if row[0] != target and row[0] not in protected:
            free.idle.remove(row)
            return row
    return None


def _is_unneeded_in_burst(
    history: demand.ArrivalHistory,
    service: ids.ServiceId,
    member: Member,
    now_s: float,
) -> bool:
    """Return whether a machine stayed idle for long in its pool's burst."""
    pool_history = history.by_pool.get(service)
    if pool_history is None or not pool_history.in_burst:
        return False
    return now_s - member.worker.idle_since_s >= BURST_IDLE_S


def _may_go_to_standby(
    history: demand.ArrivalHistory,
    service: ids.ServiceId,
    near_s: float,
    now_s: float,
) -> bool:
    """Return whether a pool's idle machines aren't needed for some time."""
    if _has_had_no_burst(history, service):
        # The reserve for its first burst isn't counted as surplus; other
        # machines may go once any pool has had a burst.
        return history.last_start_s is not None
    begin_s = demand.earliest_burst_s(history, service, now_s)
    pool_history = history.by_pool.get(service)
    if begin_s is None or pool_history is None or pool_history.in_burst:
        return False
    if now_s - pool_history.ended_s < BURST_END_GRACE_S:
        return False
    return begin_s - now_s > near_s
