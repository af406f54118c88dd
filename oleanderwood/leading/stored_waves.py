"""The state of maintenance waves that is persisted for later leaders."""

import collections.abc

import msgspec

from oleanderwood import clock
from oleanderwood import codec
from oleanderwood import event_log
from oleanderwood.leading import fenced_writes
from oleanderwood.leading import state as states
from oleanderwood.maintenance import rolling

WAVES_PREFIX = 'ow/waves/'
"""Prefix of the store keys of waves' states."""


class StoredWave(msgspec.Struct, frozen=True):
    """The state of a wave that is persisted for later leaders.

    :ivar begun: machines whose maintenance has begun
    :ivar seen_wall_ms: when the wave was first seen, in ms since 1970
    :ivar in_doubt: machines whose order is about to be sent, or has got no
        answer
    """

    begun: list[str]
    seen_wall_ms: float
    in_doubt: list[str] = []


async def write(leader: states.Leader, progress: rolling.Progress) -> None:
    """Persist which orders were taken, and which are in doubt.

    If the write is lost, a later leader repeats orders, which changes nothing.
    """
    await fenced_writes.try_write(
        leader, encode(progress), 'wave', 'begun-not-written'
    )


def encode(
    progress: rolling.Progress,
    to_order: collections.abc.Iterable[str] = (),
) -> dict[str, bytes]:
    """Return a wave's state for later leaders, by its key.

    :param to_order: machines whose orders are about to be sent
    """
    age_s = clock.now_s() - progress.first_seen_s
    in_doubt = {
        name for name, order in progress.down.items() if not order.taken
    }
    stored = StoredWave(
        sorted(progress.begun),
        clock.wall_ms() - age_s * 1000,
        sorted(in_doubt.union(to_order)),
    )
    key = f'{WAVES_PREFIX}{progress.wave.wave}'
    return {key: msgspec.json.encode(stored)}


def restore(progress: rolling.Progress, value: bytes) -> None:
    """Restore a wave's state as an earlier leader persisted it."""
    stored = codec.decode(value, StoredWave)
    progress.begun.update(stored.begun)
    age_s = max(0.0, (clock.wall_ms() - stored.seen_wall_ms) / 1000)
    progress.first_seen_s = clock.now_s() - age_s
    _add_in_doubt(progress, stored.in_doubt)


def restore_announced(
    leader: states.Leader, progress: rolling.Progress
) -> None:
    """Count the orders that a leader of an earlier release announced.

    Its announcements don't name the waves, so they may name too many.
    """
    _add_in_doubt(progress, leader.fleet.inherited_maintenance)
    if progress.down:
        event_log.emit(
            'wave',
            'inherited',
            wave=progress.wave.wave,
            in_doubt=sorted(progress.down),
        )


def _add_in_doubt(
    progress: rolling.Progress, names: collections.abc.Iterable[str]
) -> None:
    now_s = clock.now_s()
    for name in set(names).intersection(progress.wave.machines):
        if name not in progress.begun:
            progress.down[name] = rolling.MaintenanceOrder('', now_s)
