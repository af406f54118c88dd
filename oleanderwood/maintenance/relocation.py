"""State of long-running tasks that have to leave their worker."""

import dataclasses

from oleanderwood import ids

KEPT_S = 2.0
"""Time for which a relocation counts after it was last asked for: longer than
the interval between two passes while the platform answers slowly."""


@dataclasses.dataclass
class Relocation:
    """A relocation that waits for a worker with free capacity.

    :ivar service: the task's pool
    :ivar until_s: when it lapses unless it is asked for again
    :ivar lacks_capacity: no other worker of the pool could take the task when
        this was last judged
    """

    service: ids.ServiceId
    until_s: float
    lacks_capacity: bool = False
