"""Access to the queue of a service: order, fairness, and predicted waits."""

import collections
import dataclasses
import heapq
import math

from oleanderwood import configuration
from oleanderwood import ids

CLASSES = (
    configuration.Priority.URGENT,
    configuration.Priority.NORMAL,
    configuration.Priority.BULK,
)
"""Priorities in the order in which they are served."""

SLACK_SHARE = {
    configuration.Priority.URGENT: 0.4,
    configuration.Priority.NORMAL: 0.25,
    configuration.Priority.BULK: 0.1,
}
"""Share of the time left that a request's predicted wait may take.

What is kept free absorbs later requests that go first; the lower shares of
the lower priorities shed these first as the queue grows.
"""


@dataclasses.dataclass
class Waiting:
    """A request that waits.

    :ivar latest_start_s: after this it can't end before its deadline
    :ivar due_s: from this time it goes before all that came later
    :ivar queued: whether it still waits
    """

    ticket: int
    team: ids.TeamId
    priority: configuration.Priority
    latest_start_s: float
    due_s: float
    queued: bool = False


START_WEIGHT = 0.03
"""Weight of one start in the moving shares of the priorities."""

MIN_RATE_SHARE = 0.02
"""Least share of the starts that a priority is taken to get."""

TeamQueues = collections.OrderedDict[ids.TeamId, collections.deque[Waiting]]


@dataclasses.dataclass
class Queue:
    """The requests of one service that wait at one entry.

    Of each priority the teams take turns; only teams with something
    waiting are kept.

    :ivar by_due: heap of ``(due_s, pushed, waiting)``; some no longer wait
    :ivar pushed: how many were ever added
    :ivar start_shares: moving share of the starts of each priority
    """

    teams: dict[configuration.Priority, TeamQueues] = dataclasses.field(
        default_factory=lambda: {
            priority: collections.OrderedDict() for priority in CLASSES
        }
    )
    by_due: list[tuple[float, int, Waiting]] = dataclasses.field(
        default_factory=list
    )
    start_shares: dict[configuration.Priority, float] = dataclasses.field(
        default_factory=lambda: dict.fromkeys(CLASSES, 0.0)
    )
    length: int = 0
    pushed: int = 0


def push(queue: Queue, waiting: Waiting, first: bool = False) -> None:
    """Add a request, behind those of its team or before them."""
    by_team = queue.teams[waiting.priority]
    line = by_team.get(waiting.team)
    if line is None:
        line = by_team[waiting.team] = collections.deque()
    if first:
        line.appendleft(waiting)
    else:
        line.append(waiting)
    queue.length += 1
    waiting.queued = True
    queue.pushed += 1
    heapq.heappush(queue.by_due, (waiting.due_s, queue.pushed, waiting))


def peek(queue: Queue, now_s: float) -> Waiting | None:
    """Give the next request: by priority, then by the teams' turns.

    One that is due goes first, so that what was admitted starts in time.
    """
    due = _first_due(queue)
    if due is not None and due.due_s <= now_s:
        return due
    for priority in CLASSES:
        for line in queue.teams[priority].values():
            return line[0]
    return None


def pop(queue: Queue, now_s: float) -> Waiting:
    """Take what :func:`peek` gives; its team's next turn is the last.

    :raises IndexError: the queue is empty
    """
    waiting = peek(queue, now_s)
    if waiting is None:
        raise IndexError('the queue is empty')
    remove(queue, waiting)
    by_team = queue.teams[waiting.priority]
    if waiting.team in by_team:
        by_team.move_to_end(waiting.team)
    _count_start(queue, waiting.priority)
    return waiting


def remove(queue: Queue, waiting: Waiting) -> None:
    """Take a request out of the queue, wherever it stands."""
    by_team = queue.teams[waiting.priority]
    line = by_team[waiting.team]
    line.remove(waiting)
    waiting.queued = False
    queue.length -= 1
    if not line:
        del by_team[waiting.team]


def overdue(queue: Queue, now_s: float) -> list[Waiting]:
    """Take out the requests that can't start in time any more."""
    late = [
        waiting
        for _, _, waiting in queue.by_due
        if waiting.queued and waiting.latest_start_s < now_s
    ]
    for waiting in late:
        remove(queue, waiting)
    return late


def make_waiting(
    ticket: int,
    team: ids.TeamId,
    priority: configuration.Priority,
    latest_start_s: float,
    now_s: float,
) -> Waiting:
    """Make a request that is to wait from now on."""
    slack_s = latest_start_s - now_s
    due_s = now_s + slack_s * (1 + SLACK_SHARE[priority]) / 2
    return Waiting(ticket, team, priority, latest_start_s, due_s)


def ahead(
    queue: Queue, team: ids.TeamId, priority: configuration.Priority
) -> int:
    """Count the requests that would start before a new one.

    Each of the waiting teams gets as many turns as the request's own team
    has before it, also by requests that are still to come.
    """
    count = 0
    for other in CLASSES:
        by_team = queue.teams[other]
        if other is priority:
            own = len(by_team.get(team, ()))
            others = len(by_team) - (team in by_team)
            return count + own + others * (own + 1)
        count += sum(len(line) for line in by_team.values())
    return count


def excess_wait_s(
    queue: Queue, waiting: Waiting, rate_per_s: float, now_s: float
) -> float:
    """Give by how much a new request would wait too long; 0.0 if not.

    :param rate_per_s: at which this entry's requests end
    """
    if rate_per_s <= 0:
        return math.inf
    before = ahead(queue, waiting.team, waiting.priority)
    wait_s = (before + 1) / (rate_per_s * _rate_share(queue, waiting.priority))
    allowed_s = SLACK_SHARE[waiting.priority] * (
        waiting.latest_start_s - now_s
    )
    return max(0.0, wait_s - allowed_s)


def _first_due(queue: Queue) -> Waiting | None:
    while queue.by_due and not queue.by_due[0][2].queued:
        heapq.heappop(queue.by_due)
    return queue.by_due[0][2] if queue.by_due else None


def _count_start(queue: Queue, started: configuration.Priority) -> None:
    shares = queue.start_shares
    for priority, share in shares.items():
        shares[priority] = share - START_WEIGHT * share
    shares[started] += START_WEIGHT


def _rate_share(queue: Queue, priority: configuration.Priority) -> float:
    """Give the share of starts that later, higher requests leave."""
    higher = CLASSES[: CLASSES.index(priority)]
    taken = sum(queue.start_shares[other] for other in higher)
    return max(MIN_RATE_SHARE, 1.0 - taken)
