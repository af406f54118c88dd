"""Access to the clearing of applies whose daemons died midway.

Such an apply leaves a record and parts, and entries that are in doubt of
it: without an end they would not be ready in an outage of the store. Its
end is made by fencing the head, so that it doesn't matter whether its
daemon was only slow.
"""

import collections.abc
import dataclasses
import logging
import random
import time

import curio

from oleanderwood import errors
from oleanderwood import history
from oleanderwood import ids
from oleanderwood import staging
from oleanderwood import store

LOG = logging.getLogger('upkeep')

EVERY_S = 30.0
SLACK_S = 60.0
"""Time that an apply may take beside the acknowledgements."""


@dataclasses.dataclass
class Upkeep:
    """What is known of the applies that aren't decided.

    :ivar stale_s: one that is seen for longer has no daemon any more
    :ivar seen_s: when each was seen first, by operation
    """

    kept: store.Store
    new_operation: collections.abc.Callable[[], ids.OperationId]
    stale_s: float
    clock: collections.abc.Callable[[], float] = time.monotonic
    rng: random.Random = dataclasses.field(default_factory=random.Random)
    seen_s: dict[ids.OperationId, float] = dataclasses.field(
        default_factory=dict
    )


def note(
    seen_s: dict[ids.OperationId, float],
    known: history.History,
    now_s: float,
) -> dict[ids.OperationId, float]:
    """Note the records that aren't decided, and forget all others."""
    return {
        record.operation: seen_s.get(record.operation, now_s)
        for record in known.records
        if record.outcome is history.Outcome.STAGED
    }


async def look(upkeep: Upkeep) -> None:
    """Settle what the head decides, and end what is stale.

    :raises errors.StoreUnavailable: the store didn't answer
    :raises errors.StoreConflict: others were faster
    """
    known = await staging.settle(upkeep.kept, upkeep.new_operation())
    if known is None:
        return
    now_s = upkeep.clock()
    upkeep.seen_s = note(upkeep.seen_s, known, now_s)
    first_s = min(upkeep.seen_s.values(), default=now_s)
    if now_s - first_s > upkeep.stale_s:
        await staging.clear(upkeep.kept, upkeep.new_operation())


async def run(upkeep: Upkeep) -> None:
    """Look again and again, until cancelled."""
    while True:
        await curio.sleep(EVERY_S * upkeep.rng.uniform(0.5, 1.5))
        try:
            await look(upkeep)
        except (errors.CallFailed, errors.StoreConflict) as error:
            LOG.warning('Nothing was cleared: %s.', error)
        except Exception:
            LOG.exception('Upkeep failed.')
