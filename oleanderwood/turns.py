"""Gives other coroutines a turn within long computations.

The lease of a server is renewed by the event loop that also runs scheduling
passes and takeovers, so none of these may hold it for long.
"""

import dataclasses

import curio

from oleanderwood import clock
from oleanderwood import event_log
from oleanderwood import server_metrics

SLICE_S = 0.02
"""Longest time of a computation before others get a turn, in seconds; callers
and workers wait for as long."""

HELD_UP_S = 0.5
"""Time without a turn from which it is logged, in seconds: a third of the
lease, which is renewed as often."""


@dataclasses.dataclass
class Slice:
    """The time since other coroutines last had a turn.

    :ivar work: what is computed, for the log
    """

    work: str
    began_s: float


def begin(work: str) -> Slice:
    """Begin a computation that gives turns."""
    return Slice(work, clock.now_s())


async def give(current: Slice) -> None:
    """Give others a turn if the computation has taken long enough."""
    took_s = clock.now_s() - current.began_s
    if took_s < SLICE_S:
        return
    record(current.work, took_s)
    await curio.sleep(0)
    current.began_s = clock.now_s()


def record(work: str, took_s: float) -> None:
    """Record for how long others had no turn."""
    server_metrics.TURN_SECONDS.labels(work).observe(took_s)
    if took_s >= HELD_UP_S:
        event_log.emit('server', 'held-up', work=work, took_s=round(took_s, 3))
