"""Admits or refuses a job by the newest figures. Pure.

Jobs are sampled by a keyed hash of their id, so all servers decide alike on a
retry, and retries never raise the amount that is admitted.
"""

import dataclasses
import enum
import hashlib

from oleanderwood.admission import figures as figures_
from oleanderwood import ids
from oleanderwood.jobs import model

MAX_SALT_BYTES = 64
"""Longest key that the hash function takes."""

HASH_BYTES = 8
"""Size of a hash; the resolution of a share is far below one job in a day."""

MAX_RETRY_FACTOR = 2.0
"""Largest factor by which the time to retry is extended for the tenant of
which the smallest share is admitted: those due the most capacity come back
first."""


class Why(enum.Enum):
    """Why a job is refused."""

    OVER_SHARE = 'over-share'
    """Its tenant asks for more than its share while others wait."""

    TOO_LATE = 'too-late'
    """It would end too late to be of use."""

    NO_MEMORY = 'no-memory'
    """The leader has no memory for it beside the jobs that were accepted."""

    NO_LEADER = 'memory-unknown'
    """No leader says whether it has memory for it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """A job is admitted.

    :ivar limited: figures of its pool are in force
    """

    limited: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A job is refused.

    :ivar retry_after_s: when its caller may retry, in whole seconds
    :ivar holder: the tenant that has most of the pool for its weight
    :ivar wait_s: expected wait of a job in the pool
    """

    why: Why
    retry_after_s: int
    holder: ids.TenantId = ids.TenantId('')
    wait_s: float = 0.0


@dataclasses.dataclass
class Gate:
    """The newest figures that a server knows.

    :ivar received_s: when they were received
    """

    figures: figures_.Figures | None = None
    received_s: float = 0.0


OPEN = Admitted()


def receive(
    gate: Gate,
    figures: figures_.Figures,
    now_s: float,
    least_term: int = 0,
) -> bool:
    """Take figures unless newer ones are known; return whether taken.

    :param least_term: the term of the newest leader that is known
    """
    known = gate.figures
    if figures.term < least_term:
        return False
    if known is not None and (figures.term, figures.number) <= (
        known.term,
        known.number,
    ):
        return False
    gate.figures = figures
    gate.received_s = now_s
    return True


def in_force(gate: Gate, now_s: float) -> figures_.Figures | None:
    """Return the figures that are in force, if any."""
    known = gate.figures
    if known is None or now_s - gate.received_s >= known.lifetime_ms / 1000:
        return None
    return known


def decide(
    gate: Gate,
    pool: ids.ServiceId,
    tenant: ids.TenantId,
    job: ids.JobId,
    now_s: float,
) -> Admitted | Refused:
    """Decide whether a tenant's job is admitted to a pool."""
    known = in_force(gate, now_s)
    row = known.pools.get(pool) if known is not None else None
    if row is None:
        return OPEN
    share = figures_.share_of(row, tenant)
    if position(known.salt, job) < share:
        return Admitted(limited=True)
    factor = 1.0 + (MAX_RETRY_FACTOR - 1.0) * (1.0 - share)
    return Refused(
        Why.TOO_LATE if row.too_late else Why.OVER_SHARE,
        max(1, round(row.retry_after_s * factor)),
        row.holder,
        row.wait_s,
    )


def position(salt: str, job: ids.JobId) -> float:
    """Return a job's position from 0 to 1; jobs below a share are admitted."""
    digest = hashlib.blake2b(
        job.encode(),
        key=salt.encode()[:MAX_SALT_BYTES],
        digest_size=HASH_BYTES,
    ).digest()
    return int.from_bytes(digest, 'big') / (1 << 8 * HASH_BYTES)


def is_exempt(work: model.Work) -> bool:
    """Return whether a job is never refused for a pool's load.

    Long-running and repeated jobs outlast any burst, and a job that uses
    leftover capacity takes none from others.
    """
    return work.repeats > 0 or any(
        step.is_long_running or step.uses_leftover for step in work.steps
    )
