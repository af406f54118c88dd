"""Queues: the operator's newest configuration, and which queue a path is."""

import msgspec

from oleanderwood import ids
from oleanderwood.jobs import stored
from oleanderwood.tenants import model as tenants_


class Queue(msgspec.Struct, frozen=True, rename=stored.QUEUE):
    """One queue of jobs.

    :ivar host: the host name callers use
    :ivar prefix: what the paths of its jobs begin with
    :ivar service: the pool whose workers run its tasks
    :ivar objective_ms: part of the time objective of a job; the other is
        ``stretch`` times its longest chain of steps
    :ivar priority: 0 comes first
    :ivar most_attempts: failures of a task after which its job has failed
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

    :ivar standby: pools whose machines are off and cost nothing
    :ivar guarded: pools whose workers refuse what doesn't fit
    :ivar tenants: None: no caller needs a key
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
    """Give the queue of a path and the rest of the path behind its prefix.

    The longest prefix wins. None if there is no such queue.
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
    """Give the queues by their names."""
    return {queue.name: queue for queue in configuration.queues}
