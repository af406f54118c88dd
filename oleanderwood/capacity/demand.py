"""Predict the demand of each pool from the arrivals of its queues' jobs.

Queues send their jobs in bursts that last seconds: during a burst a queue
needs several times its mean, and between bursts almost nothing. A machine
takes seconds to change its pool, so bursts have to be predicted. The functions
have no side effects beyond the history; times are arguments.
"""

import collections
import dataclasses

RATE_WINDOW_S = 1.2
"""Window for the current arrival rate: the queue with the rarest jobs has two
arrivals in it during a burst, and none outside."""

BURST_RATE_WINDOW_S = 2.5
"""Window for the arrival rate during a burst, which lasts about 8 s: in the
shorter window a chance difference of two in ten arrivals would move several
machines."""

SHORT_RATE_WINDOW_S = 0.6
"""Shortest rate window, used if it holds ``RELIABLE_ARRIVALS``."""

RELIABLE_ARRIVALS = 25
"""Arrivals that give a rate to within a fifth; the shortest window that holds
them is used."""

MAX_RISE_FACTOR = 1.5
"""Upper bound on the factor by which a rising rate is extrapolated over the
time of a move."""

RAMP_UP_S = 4.0
"""Time after the start of a burst in which its rate can't be measured yet: it
peaks after two or three seconds, and the rate is measured over 2.5 s."""

MEAN_WINDOW_S = 60.0
"""Window for the mean rate, a few cycles of bursts."""

MIN_MEAN_WINDOW_S = 6.0
"""Shorter histories count as this long, so that the first arrivals don't set
the mean."""

BURST_START_FACTOR = 2.0
"""A burst starts when the rate is this many times the mean. Users report
bursts of about five times the mean, but at its start a burst doesn't fill the
window yet."""

BURST_END_FACTOR = 0.7
"""A burst ends when the rate falls below this many times the mean; between
bursts it is about a twentieth. A burst that ends too early by chance is
continued as the same burst."""

HALF_WEIGHT_ARRIVALS = 2.0
"""Number of arrivals at which a rate counts for half. Ten small jobs in a
window are reliable; a rate from two large jobs requested three times the cores
that were needed on average."""

MIN_BURST_ARRIVALS = 2
"""Fewest arrivals in the window that make a burst."""

MIN_BURST_POOL_SHARE = 0.3
"""Smallest share of its pool's cores that a burst keeps busy; two small jobs
that arrive together by chance are no burst."""

MIN_START_GAP_S = 2.0
"""Starts of two queues that are closer than this say nothing about the length
of a burst."""


@dataclasses.dataclass
class PoolHistory:
    """Arrivals of one pool's jobs.

    :ivar arrivals: time and work of each, in core-seconds
    :ivar starts_s: start times of its bursts
    :ivar began_s: start of the current or last burst; parts of a burst that
        are separated by a lull count separately
    :ivar burst_cores: mean number of cores that the last burst kept busy
    :ivar total_core_s: work of all arrivals in ``arrivals``
    :ivar excess_s: times of those arrivals that were beyond their customers'
        rates
    """

    arrivals: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    starts_s: list[float] = dataclasses.field(default_factory=list)
    in_burst: bool = False
    began_s: float = -1e9
    ended_s: float = -1e9
    burst_cores: float = 0.0
    total_core_s: float = 0.0
    excess_s: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )


@dataclasses.dataclass
class ArrivalHistory:
    """Arrivals of all pools.

    :ivar began_s: time of the first arrival
    :ivar pools: pools that have queues, and therefore bursts
    :ivar start_gaps_s: times between the starts of successive bursts
    :ivar pool_cores: initial cores of each pool, as far as known
    """

    by_pool: dict[str, PoolHistory] = dataclasses.field(default_factory=dict)
    pools: frozenset[str] = frozenset()
    began_s: float | None = None
    last_start_s: float | None = None
    last_burst_pool: str = ''
    start_gaps_s: list[float] = dataclasses.field(default_factory=list)
    pool_cores: dict[str, float] = dataclasses.field(default_factory=dict)


def record_arrival(
    history: ArrivalHistory,
    pool: str,
    at_s: float,
    core_s: float,
    is_excess: bool = False,
) -> None:
    """Record the arrival of a job; arrivals come in order of time.

    :param is_excess: it is beyond its customer's rate
    """
    if history.began_s is None:
        history.began_s = at_s
    pool_history = history.by_pool.setdefault(pool, PoolHistory())
    # Ends a burst that stopped since the last update.
    update_burst_state(history, pool, at_s)
    pool_history.arrivals.append((at_s, core_s))
    pool_history.total_core_s += core_s
    while pool_history.arrivals[0][0] < at_s - MEAN_WINDOW_S:
        pool_history.total_core_s -= pool_history.arrivals.popleft()[1]
    if is_excess:
        pool_history.excess_s.append(at_s)
    while (
        pool_history.excess_s
        and pool_history.excess_s[0] < at_s - MEAN_WINDOW_S
    ):
        pool_history.excess_s.popleft()
    update_burst_state(history, pool, at_s)


def current_cores(pool_history: PoolHistory, now_s: float) -> float:
    """Return the cores that arrivals at the current rate keep busy.

    Sizes of jobs differ by several times, so the rate counts jobs, and each
    job counts with the mean size.
    """
    return _rate(pool_history, now_s - RATE_WINDOW_S, now_s) * _mean_size(
        pool_history
    )


def _rate(pool_history: PoolHistory, since_s: float, now_s: float) -> float:
    return _count(pool_history, since_s) / (now_s - since_s)


def _count(pool_history: PoolHistory, since_s: float) -> int:
    count = 0
    for at_s, _core_s in reversed(pool_history.arrivals):
        if at_s <= since_s:
            break
        count += 1
    return count


def _mean_size(pool_history: PoolHistory) -> float:
    return (
        pool_history.total_core_s / len(pool_history.arrivals)
        if pool_history.arrivals
        else 0.0
    )


def is_ramping_up(pool_history: PoolHistory, now_s: float) -> bool:
    """Return whether a burst has started but can't be measured yet."""
    return pool_history.in_burst and now_s - pool_history.began_s < RAMP_UP_S


def _arrived_core_s(pool_history: PoolHistory, since_s: float) -> float:
    work = 0.0
    for at_s, core_s in reversed(pool_history.arrivals):
        if at_s <= since_s:
            break
        work += core_s
    return work


def expected_cores(pool_history: PoolHistory, now_s: float) -> float:
    """Return the cores that the current rate is expected to keep busy.

    Few arrivals are weak evidence of a rate, so they have less weight.
    """
    since_s = _window_start_s(pool_history, now_s)
    count = _count(pool_history, since_s)
    weight = count / (count + HALF_WEIGHT_ARRIVALS)
    rate = _rate(pool_history, since_s, now_s) * _rise_factor(
        pool_history, since_s, now_s
    )
    return weight * rate * _mean_size(pool_history)


def excess_share(pool_history: PoolHistory, now_s: float) -> float:
    """Return the share of present arrivals that is beyond customers' rates."""
    since_s = _window_start_s(pool_history, now_s)
    count = _count(pool_history, since_s)
    excess = 0
    for at_s in reversed(pool_history.excess_s):
        if at_s <= since_s:
            break
        excess += 1
    return excess / count if count else 0.0


def _window_start_s(pool_history: PoolHistory, now_s: float) -> float:
    """Return the start of the window that estimates the rate best."""
    if _count(pool_history, now_s - SHORT_RATE_WINDOW_S) >= RELIABLE_ARRIVALS:
        return now_s - SHORT_RATE_WINDOW_S
    since_s = now_s - RATE_WINDOW_S
    if (
        pool_history.in_burst
        and _count(pool_history, since_s) < RELIABLE_ARRIVALS
    ):
        since_s = min(
            since_s, max(pool_history.began_s, now_s - BURST_RATE_WINDOW_S)
        )
    return since_s


def _rise_factor(
    pool_history: PoolHistory, since_s: float, now_s: float
) -> float:
    """Return the factor by which the rate is expected to rise further.

    It is 1 if there were too few arrivals to tell.
    """
    count = _count(pool_history, since_s)
    before = _count(pool_history, 2 * since_s - now_s) - count
    if before < RELIABLE_ARRIVALS:
        return 1.0
    return min(MAX_RISE_FACTOR, max(1.0, count / before))


def mean_cores(
    history: ArrivalHistory, pool_history: PoolHistory, now_s: float
) -> float:
    """Return the mean number of cores that arrivals keep busy."""
    if history.began_s is None:
        return 0.0
    span_s = min(
        MEAN_WINDOW_S, max(MIN_MEAN_WINDOW_S, now_s - history.began_s)
    )
    return pool_history.total_core_s / span_s


def update_burst_state(
    history: ArrivalHistory, pool: str, now_s: float
) -> None:
    """Detect the start or the end of a pool's burst."""
    pool_history = history.by_pool.get(pool)
    if pool_history is None:
        return
    recent = _count(pool_history, now_s - RATE_WINDOW_S)
    present = current_cores(pool_history, now_s)
    mean = mean_cores(history, pool_history, now_s)
    threshold = max(
        BURST_START_FACTOR * mean,
        MIN_BURST_POOL_SHARE * history.pool_cores.get(pool, 0.0),
    )
    high = recent >= MIN_BURST_ARRIVALS and present >= threshold
    if high and not pool_history.in_burst:
        _start_burst(history, pool, pool_history, now_s)
    elif pool_history.in_burst and present < BURST_END_FACTOR * mean:
        pool_history.in_burst = False
        pool_history.ended_s = now_s
    if pool_history.in_burst:
        _measure_burst(pool_history, now_s)


def _start_burst(
    history: ArrivalHistory, pool: str, pool_history: PoolHistory, now_s: float
) -> None:
    pool_history.in_burst = True
    pool_history.began_s = now_s - RATE_WINDOW_S
    if history.last_burst_pool == pool:
        # The same burst after a lull: between two bursts of one pool there is
        # one of another pool.
        return
    start_s = _burst_start_s(pool_history, now_s)
    pool_history.starts_s.append(start_s)
    if history.last_start_s is not None:
        start_gap_s = start_s - history.last_start_s
        if start_gap_s >= MIN_START_GAP_S:
            history.start_gaps_s.append(start_gap_s)
    history.last_start_s = start_s
    history.last_burst_pool = pool


def _burst_start_s(pool_history: PoolHistory, now_s: float) -> float:
    """Return the first of the latest arrivals that follow each other closely.

    A burst of large jobs begins with one or two a second and is detected up to
    two seconds late. Other bursts are predicted from when it really started.
    """
    first_s = now_s
    for at_s, _core_s in reversed(pool_history.arrivals):
        if first_s - at_s > RATE_WINDOW_S:
            break
        first_s = at_s
    return first_s


def _measure_burst(pool_history: PoolHistory, now_s: float) -> None:
    """Measure the current burst, once it has lasted for two windows."""
    began_s = pool_history.starts_s[-1]
    length_s = now_s - began_s
    if length_s >= 2 * RATE_WINDOW_S:
        pool_history.burst_cores = (
            _arrived_core_s(pool_history, began_s) / length_s
        )


def largest_burst_share(history: ArrivalHistory) -> float | None:
    """Return the largest mean demand of a burst, relative to its pool's cores.

    The pool's initial cores count. Returns None if no burst was measured.
    """
    shares = [
        pool_history.burst_cores / history.pool_cores[pool]
        for pool, pool_history in history.by_pool.items()
        if pool_history.burst_cores and history.pool_cores.get(pool)
    ]
    return max(shares, default=None)


def usual_start_gap_s(history: ArrivalHistory) -> float:
    """Return the median time between two starts.

    It is ``MIN_START_GAP_S`` if none is known.
    """
    if not history.start_gaps_s:
        return MIN_START_GAP_S
    ordered = sorted(history.start_gaps_s)
    return ordered[len(ordered) // 2]


@dataclasses.dataclass(frozen=True)
class BurstForecast:
    """The interval in which a burst is expected to start."""

    earliest_s: float
    latest_s: float


def next_burst(
    history: ArrivalHistory, pool: str, now_s: float
) -> BurstForecast | None:
    """Predict when a pool's next burst starts; return None if that is unknown.

    A pool that had two bursts is expected to repeat them at the same interval.
    Before that, pools are expected to have their bursts in the same order each
    time: once each pool has had one, the pool whose burst is the longest ago
    is next.
    """
    pool_history = history.by_pool.get(pool)
    if pool_history is None or not pool_history.starts_s:
        return _first_burst(history, pool, now_s)
    if len(pool_history.starts_s) > 1:
        period_s = pool_history.starts_s[-1] - pool_history.starts_s[-2]
        if period_s > MIN_START_GAP_S * len(history.pools):
            begin_s = _next_in_series_s(
                pool_history.starts_s[-1], period_s, now_s
            )
            return BurstForecast(begin_s, begin_s)
    if (
        not history.start_gaps_s
        or len(history.pools) < 2
        or _count_without_burst(history)
    ):
        return None
    ahead = sum(
        other.starts_s[-1] <= pool_history.starts_s[-1]
        for other in history.by_pool.values()
        if other.starts_s
    )
    shortest_s, longest_s = (
        min(history.start_gaps_s),
        max(history.start_gaps_s),
    )
    found = BurstForecast(
        history.last_start_s
        + shortest_s
        + (ahead - 1) * usual_start_gap_s(history),
        history.last_start_s
        + longest_s
        + (ahead - 1) * usual_start_gap_s(history),
    )
    # A burst that didn't come shows that there is no such order.
    return found if found.latest_s + RATE_WINDOW_S >= now_s else None


def _first_burst(
    history: ArrivalHistory, pool: str, now_s: float
) -> BurstForecast | None:
    """Predict the first burst of a pool.

    Bursts of different pools follow one another. So the next one may be this
    pool's once the current burst has lasted as long as earlier ones, or is
    over.
    """
    if history.last_start_s is None or pool not in history.pools:
        return None
    last = history.by_pool[history.last_burst_pool]
    if history.start_gaps_s:
        earliest_s = history.last_start_s + min(history.start_gaps_s)
        latest_s = history.last_start_s + max(history.start_gaps_s)
    elif not last.in_burst:
        earliest_s = last.ended_s
        latest_s = last.ended_s + (last.ended_s - history.last_start_s)
    else:
        return None
    if not last.in_burst:
        # A burst that began slowly was detected late and seems short.
        earliest_s = min(earliest_s, last.ended_s)
    found = BurstForecast(earliest_s, latest_s)
    return found if found.latest_s + RATE_WINDOW_S >= now_s else None


def _next_in_series_s(last_s: float, period_s: float, now_s: float) -> float:
    """Return the next start of a periodic series.

    A start that passed within ``RATE_WINDOW_S`` may not be detected yet, so it
    counts as next.
    """
    begin_s = last_s + period_s
    while period_s > 0 and begin_s + RATE_WINDOW_S < now_s:
        begin_s += period_s
    return begin_s


def _count_without_burst(history: ArrivalHistory) -> int:
    """Count the pools that haven't had a burst yet."""
    seen = {
        pool
        for pool, pool_history in history.by_pool.items()
        if pool_history.starts_s
    }
    return len(history.pools - seen)


def earliest_burst_s(
    history: ArrivalHistory, pool: str, now_s: float
) -> float | None:
    """Return the time before which a pool's next burst can't start.

    Returns None if it may start at any moment. While other pools haven't had
    their first burst, a pool that had one comes after them. Where bursts don't
    follow the predictions, a pool is expected to stay quiet for one usual time
    between two starts for each pool.
    """
    found = next_burst(history, pool, now_s)
    if found is not None:
        return found.earliest_s
    pool_history = history.by_pool.get(pool)
    if (
        pool_history is None
        or not pool_history.starts_s
        or pool_history.in_burst
    ):
        return None
    start_gap_s = usual_start_gap_s(history)
    without_burst = _count_without_burst(history)
    return now_s + (without_burst or len(history.pools)) * start_gap_s
