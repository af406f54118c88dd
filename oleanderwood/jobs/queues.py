"""Queues of the operator's configuration, and the lookup of a path's queue."""

import msgspec

from oleanderwood import ids
from oleanderwood.jobs import stored
from oleanderwood.tenants import model as tenants_


class Queue(msgspec.Struct, frozen=True, rename=stored.QUEUE):
    """One queue of jobs.

    :ivar host: host name that callers use
    :ivar prefix: prefix of the paths of its jobs
    :ivar service: pool whose workers run its tasks
    :ivar objective_ms: fixed part of a job's time objective, to which
        ``stretch`` times the critical path of its steps is added
    :ivar priority: 0 is the highest
    :ivar most_attempts: number of failed runs of a task at which its job
        fails
    :ivar needs_advice: tasks start only on workers for which the advice has
        issued a ticket
    :ivar public: callers need no key
    """

    name: str
    host: str
    prefix: str
    service: ids.ServiceId
    objective_ms: float = 0.0
    stretch: float = 1.0
    priority: int = 0
    most_attempts: int = 1
    needs_advice: bool = False
    public: bool = True


class Configuration(msgspec.Struct, frozen=True):
    """The operator's configuration.

    :ivar services: names of all pools
    :ivar standby: pools whose machines are off and cost nothing
    :ivar guarded: pools whose workers refuse tasks that don't fit
    :ivar tenants: None if no caller needs a key
    """

    version: int
    queues: tuple[Queue, ...] = ()
    services: tuple[ids.ServiceId, ...] = ()
    standby: frozenset[ids.ServiceId] = frozenset()
    guarded: frozenset[ids.ServiceId] = frozenset()
    tenants: tenants_.Tenants | None = None


def find(
    configuration: Configuration, host: str, path: str
) -> tuple[Queue, str] | None:
    """Return the queue of a path, and the path without the queue's prefix.

    The queue with the longest matching prefix is used; None if none matches.
    """
    name = host.partition(':')[0].lower()
    best = None
    for queue in configuration.queues:
        if queue.host.lower() != name or not path.startswith(queue.prefix):
            continue
        if best is None or len(queue.prefix) > len(best.prefix):
            best = queue
    if best is None:
        return None
    return best, path[len(best.prefix) :]


def by_name(configuration: Configuration) -> dict[str, Queue]:
    """Return the queues by name."""
    return {queue.name: queue for queue in configuration.queues}
