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


def peek(queue: Queue) -> Waiting | None:
    """Give the request that :func:`pop` would take."""
    for priority in CLASSES:
        for line in queue.teams[priority].values():
            return line[0]
    return None


def pop(queue: Queue) -> Waiting | None:
    """Take the next request: by priority, then by the teams' turns."""
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
    return None


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


def predicted_wait_s(
    requests_ahead: int, in_flight: int, latency_s: float
) -> float:
    """Predict the wait of a request that can't start at once.

    :param in_flight: this entry's requests of the service, which end at
        ``in_flight / latency_s`` a second
    """
    if not in_flight:
        return math.inf
    return (requests_ahead + 1) * latency_s / in_flight


def allowed_wait_s(
    priority: configuration.Priority, latest_start_s: float, now_s: float
) -> float:
    """Give the longest predicted wait with which a request is admitted."""
    return SLACK_SHARE[priority] * (latest_start_s - now_s)
