"""What each queue is about to ask for: arrivals, turns, and the next turn.

Load it answers: the queues ask by turns. In its turn, which lasts seconds, a
queue asks for several times its mean; between two turns for nearly nothing.
A machine takes seconds to change its pool, so a turn has to be foreseen.
Pure: times come in as arguments.
"""

import collections
import dataclasses

WINDOW_S = 1.2
"""Time over which the present rate is measured: in it the rarest queue of
today's users has two arrivals in its turn and none outside."""

TURN_WINDOW_S = 2.5
"""As above within a turn, which lasts some 8 s: two of ten arrivals more or
less in the shorter window would move several machines."""

SHORT_WINDOW_S = 0.6
SURE_ARRIVALS = 25
"""Arrivals that tell a rate to a fifth; the window is as short as it may be
to hold them."""

RISE_MOST = 1.5
"""Most by which a rising rate is carried on over the time of a move."""

YOUNG_S = 4.0
"""Time for which a turn is young: it takes two or three seconds to reach its
height, and its rate is measured over 2.5 s."""

MEAN_S = 60.0
"""Time over which the mean rate is measured, a few cycles of turns."""

MEAN_MIN_S = 6.0
"""Shorter histories count as this long, so that the first arrivals aren't
taken for the mean."""

TURN_FACTOR = 2.0
"""A turn begins when the rate is this many times the mean; users say about
five times, measured over a window that the turn doesn't fill yet."""

TURN_END_FACTOR = 0.7
"""A turn ends when the rate is this many times the mean; between turns it
is near a twentieth. One that ends early by chance goes on as the same."""

DOUBT_ARRIVALS = 2.0
"""Arrivals at which a rate counts for half. Ten of small jobs in a window are
sure; two of large ones asked for thrice what was needed in the mean."""

TURN_ARRIVALS = 2
"""Arrivals in the window that a turn takes at least."""

TURN_POOL_PART = 0.3
"""Part of its pool's cores that a turn keeps busy at least: two small jobs
that meet by chance are none."""

MIN_GAP_S = 2.0
"""Starts of two queues closer than this tell nothing of a turn's length."""


@dataclasses.dataclass
class Line:
    """Arrivals of one pool's jobs.

    :ivar arrivals: time and work, in seconds of one core
    :ivar starts_s: when its turns began
    :ivar began_s: when the present or last turn began; turns that a lull
        parts count apart
    :ivar turn_cores: cores that the last turn kept busy in its mean
    :ivar total_core_s: work of all arrivals that are remembered
    """

    arrivals: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    starts_s: list[float] = dataclasses.field(default_factory=list)
    in_turn: bool = False
    began_s: float = -1e9
    ended_s: float = -1e9
    turn_cores: float = 0.0
    total_core_s: float = 0.0


@dataclasses.dataclass
class Turns:
    """Arrivals of all pools.

    :ivar began_s: when the first arrival came
    :ivar pools: those that take turns
    :ivar gaps_s: times between the starts of successive turns
    :ivar pool_cores: cores that each pool had at first, as far as known
    """

    lines: dict[str, Line] = dataclasses.field(default_factory=dict)
    pools: frozenset[str] = frozenset()
    began_s: float | None = None
    last_start_s: float | None = None
    last_pool: str = ''
    gaps_s: list[float] = dataclasses.field(default_factory=list)
    pool_cores: dict[str, float] = dataclasses.field(default_factory=dict)


def note(turns: Turns, pool: str, at_s: float, core_s: float) -> None:
    """Note the arrival of a job; arrivals come in order of time."""
    if turns.began_s is None:
        turns.began_s = at_s
    line = turns.lines.setdefault(pool, Line())
    # Ends a turn that went by unnoticed.
    update(turns, pool, at_s)
    line.arrivals.append((at_s, core_s))
    line.total_core_s += core_s
    while line.arrivals[0][0] < at_s - MEAN_S:
        line.total_core_s -= line.arrivals.popleft()[1]
    update(turns, pool, at_s)


def present_cores(line: Line, now_s: float) -> float:
    """Give the cores that arrivals at the present rate keep busy.

    Jobs differ in size by several times, so the rate counts them, and each
    counts as the mean of all.
    """
    return _rate(line, now_s - WINDOW_S, now_s) * _mean_size(line)


def _rate(line: Line, since_s: float, now_s: float) -> float:
    return _count(line, since_s) / (now_s - since_s)


def _count(line: Line, since_s: float) -> int:
    count = 0
    for at_s, _core_s in reversed(line.arrivals):
        if at_s <= since_s:
            break
        count += 1
    return count


def _mean_size(line: Line) -> float:
    return line.total_core_s / len(line.arrivals) if line.arrivals else 0.0


def is_young(line: Line, now_s: float) -> bool:
    """Say whether a turn has begun and can't be measured yet."""
    return line.in_turn and now_s - line.began_s < YOUNG_S


def _work(line: Line, since_s: float) -> float:
    work = 0.0
    for at_s, core_s in reversed(line.arrivals):
        if at_s <= since_s:
            break
        work += core_s
    return work


def soon_cores(line: Line, now_s: float) -> float:
    """Give the cores that the present rate will keep busy for sure.

    Few arrivals say little of the rate; they count for less.
    """
    since_s = _since_s(line, now_s)
    count = _count(line, since_s)
    part = count / (count + DOUBT_ARRIVALS)
    rate = _rate(line, since_s, now_s) * _rise(line, since_s, now_s)
    return part * rate * _mean_size(line)


def _since_s(line: Line, now_s: float) -> float:
    """Give where the window begins that tells the present rate best."""
    if _count(line, now_s - SHORT_WINDOW_S) >= SURE_ARRIVALS:
        return now_s - SHORT_WINDOW_S
    since_s = now_s - WINDOW_S
    if line.in_turn and _count(line, since_s) < SURE_ARRIVALS:
        since_s = min(since_s, max(line.began_s, now_s - TURN_WINDOW_S))
    return since_s


def _rise(line: Line, since_s: float, now_s: float) -> float:
    """Give by how much a rate goes on rising, if it surely rises."""
    count = _count(line, since_s)
    before = _count(line, 2 * since_s - now_s) - count
    if before < SURE_ARRIVALS:
        return 1.0
    return min(RISE_MOST, max(1.0, count / before))


def mean_cores(turns: Turns, line: Line, now_s: float) -> float:
    """Give the cores that arrivals keep busy in the mean."""
    if turns.began_s is None:
        return 0.0
    span_s = min(MEAN_S, max(MEAN_MIN_S, now_s - turns.began_s))
    return line.total_core_s / span_s


def update(turns: Turns, pool: str, now_s: float) -> None:
    """Notice the begin or the end of a pool's turn."""
    line = turns.lines.get(pool)
    if line is None:
        return
    recent = _count(line, now_s - WINDOW_S)
    present = present_cores(line, now_s)
    mean = mean_cores(turns, line, now_s)
    least = max(
        TURN_FACTOR * mean, TURN_POOL_PART * turns.pool_cores.get(pool, 0.0)
    )
    high = recent >= TURN_ARRIVALS and present >= least
    if high and not line.in_turn:
        _begin(turns, pool, line, now_s)
    elif line.in_turn and present < TURN_END_FACTOR * mean:
        line.in_turn = False
        line.ended_s = now_s
    if line.in_turn:
        _measure(line, now_s)


def _begin(turns: Turns, pool: str, line: Line, now_s: float) -> None:
    line.in_turn = True
    line.began_s = now_s - WINDOW_S
    if turns.last_pool == pool:
        # After a lull; turns of one pool have others' between them.
        return
    start_s = _first_of_run_s(line, now_s)
    line.starts_s.append(start_s)
    if turns.last_start_s is not None:
        gap_s = start_s - turns.last_start_s
        if gap_s >= MIN_GAP_S:
            turns.gaps_s.append(gap_s)
    turns.last_start_s = start_s
    turns.last_pool = pool


def _first_of_run_s(line: Line, now_s: float) -> float:
    """Give when the arrivals began that follow each other closely.

    A turn of large jobs, which begins with one or two a second, is noticed up
    to two seconds after it began, and others are foreseen by when it did.
    """
    first_s = now_s
    for at_s, _core_s in reversed(line.arrivals):
        if first_s - at_s > WINDOW_S:
            break
        first_s = at_s
    return first_s


def _measure(line: Line, now_s: float) -> None:
    """Measure the present turn, once it has lasted for a while."""
    began_s = line.starts_s[-1]
    length_s = now_s - began_s
    if length_s >= 2 * WINDOW_S:
        line.turn_cores = _work(line, began_s) / length_s


def largest_part(turns: Turns) -> float | None:
    """Give the most that a turn kept busy, by its pool's first cores.

    The mean over a turn counts. None if no turn was measured.
    """
    parts = [
        line.turn_cores / turns.pool_cores[pool]
        for pool, line in turns.lines.items()
        if line.turn_cores and turns.pool_cores.get(pool)
    ]
    return max(parts, default=None)


def turn_length_s(turns: Turns) -> float:
    """Give the usual time between two starts, a short one if none is known."""
    if not turns.gaps_s:
        return MIN_GAP_S
    ordered = sorted(turns.gaps_s)
    return ordered[len(ordered) // 2]


@dataclasses.dataclass(frozen=True)
class Foreseen:
    """Between which times a turn begins."""

    earliest_s: float
    latest_s: float


def next_turn(turns: Turns, pool: str, now_s: float) -> Foreseen | None:
    """Foresee when a pool's next turn begins; None if nothing tells.

    A pool that had two turns keeps their distance. Before that, the pools
    take turns in the same order each time: the one whose turn is longest ago
    is next, once each pool's turn has been seen.
    """
    line = turns.lines.get(pool)
    if line is None or not line.starts_s:
        return _first_turn(turns, pool, now_s)
    if len(line.starts_s) > 1:
        period_s = line.starts_s[-1] - line.starts_s[-2]
        if period_s > MIN_GAP_S * len(turns.pools):
            begin_s = _upcoming_s(line.starts_s[-1], period_s, now_s)
            return Foreseen(begin_s, begin_s)
    if not turns.gaps_s or len(turns.pools) < 2 or _unseen(turns):
        return None
    ahead = sum(
        other.starts_s[-1] <= line.starts_s[-1]
        for other in turns.lines.values()
        if other.starts_s
    )
    shortest_s, longest_s = min(turns.gaps_s), max(turns.gaps_s)
    found = Foreseen(
        turns.last_start_s + shortest_s + (ahead - 1) * turn_length_s(turns),
        turns.last_start_s + longest_s + (ahead - 1) * turn_length_s(turns),
    )
    # One that didn't come tells that there is no such order.
    return found if found.latest_s + WINDOW_S >= now_s else None


def _first_turn(turns: Turns, pool: str, now_s: float) -> Foreseen | None:
    """Foresee the first turn of a pool.

    One pool follows another, so it may be the next one's once the present
    turn is as old as others became, or is over.
    """
    if turns.last_start_s is None or pool not in turns.pools:
        return None
    last = turns.lines[turns.last_pool]
    if turns.gaps_s:
        earliest_s = turns.last_start_s + min(turns.gaps_s)
        latest_s = turns.last_start_s + max(turns.gaps_s)
    elif not last.in_turn:
        earliest_s = last.ended_s
        latest_s = last.ended_s + (last.ended_s - turns.last_start_s)
    else:
        return None
    if not last.in_turn:
        # A turn that began slowly was noticed late, and seems short.
        earliest_s = min(earliest_s, last.ended_s)
    found = Foreseen(earliest_s, latest_s)
    return found if found.latest_s + WINDOW_S >= now_s else None


def _upcoming_s(last_s: float, period_s: float, now_s: float) -> float:
    """Give the first of a series of turns that isn't missed by now."""
    begin_s = last_s + period_s
    while period_s > 0 and begin_s + WINDOW_S < now_s:
        begin_s += period_s
    return begin_s


def _unseen(turns: Turns) -> int:
    """Count the pools whose first turn is still to come."""
    seen = {pool for pool, line in turns.lines.items() if line.starts_s}
    return len(turns.pools - seen)


def earliest_turn_s(turns: Turns, pool: str, now_s: float) -> float | None:
    """Give before when a pool's next turn surely doesn't begin.

    None if it may begin at any moment. While other pools haven't had their
    first turn, one that had its own comes after them. Where turns don't come
    as foreseen, a pool that was quiet for as long as it waited for its last
    one stays quiet.
    """
    found = next_turn(turns, pool, now_s)
    if found is not None:
        return found.earliest_s
    line = turns.lines.get(pool)
    if line is None or not line.starts_s or line.in_turn:
        return None
    gap_s = turn_length_s(turns)
    unseen = _unseen(turns)
    return now_s + (unseen or len(turns.pools)) * gap_s
