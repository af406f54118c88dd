"""Access to the queue of a service: order, fairness, and predicted waits."""

import collections
import dataclasses
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
    configuration.Priority.URGENT: 0.8,
    configuration.Priority.NORMAL: 0.5,
    configuration.Priority.BULK: 0.25,
}
"""Share of the time left that a request's predicted wait may take.

What is kept free absorbs later requests that go first; the lower shares of
the lower priorities shed these first as the queue grows.
"""


@dataclasses.dataclass
class Waiting:
    """A request that waits.

    :ivar latest_start_s: after this it can't end before its deadline
    """

    ticket: int
    team: ids.TeamId
    priority: configuration.Priority
    latest_start_s: float


TeamQueues = collections.OrderedDict[ids.TeamId, collections.deque[Waiting]]


@dataclasses.dataclass
class Queue:
    """The requests of one service that wait at one entry.

    Of each priority the teams take turns; only teams with something
    waiting are kept.
    """

    teams: dict[configuration.Priority, TeamQueues] = dataclasses.field(
        default_factory=lambda: {
            priority: collections.OrderedDict() for priority in CLASSES
        }
    )
    length: int = 0


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


def pop(queue: Queue) -> Waiting:
    """Take the next request: by priority, then by the teams' turns.

    :raises IndexError: the queue is empty
    """
    for priority in CLASSES:
        by_team = queue.teams[priority]
        if not by_team:
            continue
        team, line = next(iter(by_team.items()))
        waiting = line.popleft()
        queue.length -= 1
        if line:
            by_team.move_to_end(team)
        else:
            del by_team[team]
        return waiting
    raise IndexError('the queue is empty')


def remove(queue: Queue, waiting: Waiting) -> None:
    """Take a request out of the queue, wherever it stands."""
    by_team = queue.teams[waiting.priority]
    line = by_team[waiting.team]
    line.remove(waiting)
    queue.length -= 1
    if not line:
        del by_team[waiting.team]


def overdue(queue: Queue, now_s: float) -> list[Waiting]:
    """List the requests that can't start in time any more."""
    if not queue.length:
        return []
    return [
        waiting
        for by_team in queue.teams.values()
        for line in by_team.values()
        for waiting in line
        if waiting.latest_start_s < now_s
    ]


def ahead(
    queue: Queue, team: ids.TeamId, priority: configuration.Priority
) -> int:
    """Count the requests that would start before a new one."""
    count = 0
    for other in CLASSES:
        by_team = queue.teams[other]
        if other is priority:
            own = len(by_team.get(team, ()))
            return count + sum(
                min(len(line), own + 1) for line in by_team.values()
            )
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
    wait_s = (before + 1) / rate_per_s
    allowed_s = SLACK_SHARE[waiting.priority] * (
        waiting.latest_start_s - now_s
    )
    return max(0.0, wait_s - allowed_s)
