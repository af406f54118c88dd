"""Access to what the store keeps of the waves of a region.

One value a region, ``waves/REGION``, changed by compare-and-swap alone:
operators start, pause and stop a wave, the controller writes its progress.
"""

import collections.abc
import enum

import msgspec

from oleanderwood import errors
from oleanderwood import ids

KEY_PREFIX = 'waves/'


class State(enum.Enum):
    """Where a wave stands."""

    PLANNED = 'planned'
    RUNNING = 'running'
    PAUSED = 'paused'
    """Takes no further VM; those that are out come back."""

    STOPPED = 'stopped'
    """Ended before all its VMs were done."""

    DONE = 'done'


class Order(enum.Enum):
    """What an operator asks of a wave."""

    START = 'start'
    PAUSE = 'pause'
    STOP = 'stop'


ACTIVE = (State.RUNNING, State.PAUSED)


class Wave(msgspec.Struct, frozen=True):
    """One wave in one region.

    ``run`` grows by one at each start after an end. ``reason`` says who or
    what brought the state about. ``done`` of ``total`` VMs are maintained,
    as the controller counted last.
    """

    wave: ids.WaveId
    state: State = State.PLANNED
    run: int = 0
    started_at_s: float = 0.0
    changed_at_s: float = 0.0
    reason: str = ''
    done: int = 0
    total: int = 0


class Waves(msgspec.Struct, frozen=True):
    """All waves of a region that were ever started."""

    region: ids.Region
    revision: ids.Revision = ids.Revision(0)
    waves: tuple[Wave, ...] = ()


def key(region: ids.Region) -> str:
    """Name the store's key of a region's waves."""
    return f'{KEY_PREFIX}{region}'


def find(waves: Waves, wave: ids.WaveId) -> Wave:
    """Give a wave; one that was never started is planned."""
    for known in waves.waves:
        if known.wave == wave:
            return known
    return Wave(wave=wave)


def put(waves: Waves, changed: Wave) -> Waves:
    """Replace or add a wave."""
    others = tuple(w for w in waves.waves if w.wave != changed.wave)
    return Waves(
        region=waves.region,
        revision=ids.Revision(waves.revision + 1),
        waves=others + (changed,),
    )


def active(regions: collections.abc.Iterable[Waves]) -> tuple[str, ...]:
    """Name the waves that run or are paused in some region."""
    return tuple(
        dict.fromkeys(
            wave.wave
            for waves in regions
            for wave in waves.waves
            if wave.state in ACTIVE
        )
    )


def order(
    waves: Waves,
    wave: ids.WaveId,
    what: Order,
    now_s: float,
    reason: str = '',
) -> Waves:
    """Carry out an operator's order; a repeat changes nothing.

    :param now_s: seconds since the epoch
    :raises errors.WaveConflict: the wave's state doesn't allow it
    """
    before = find(waves, wave)
    after = _ordered(before, what, now_s, reason)
    if after is before:
        return waves
    return put(waves, after)


def _ordered(before: Wave, what: Order, now_s: float, reason: str) -> Wave:
    match what, before.state:
        case Order.START, State.RUNNING:
            return before
        case Order.START, State.PAUSED:
            return _moved(before, State.RUNNING, now_s, reason)
        case Order.START, _:
            return Wave(
                wave=before.wave,
                state=State.RUNNING,
                run=before.run + 1,
                started_at_s=now_s,
                changed_at_s=now_s,
                reason=reason,
            )
        case Order.PAUSE, State.PAUSED:
            return before
        case Order.PAUSE, State.RUNNING:
            return _moved(before, State.PAUSED, now_s, reason)
        case Order.STOP, State.STOPPED:
            return before
        case Order.STOP, State.RUNNING | State.PAUSED:
            return _moved(before, State.STOPPED, now_s, reason)
    raise errors.WaveConflict(
        f'wave {before.wave} is {before.state.value}: it can not be '
        f'ordered to {what.value}'
    )


def _moved(before: Wave, state: State, now_s: float, reason: str) -> Wave:
    return Wave(
        wave=before.wave,
        state=state,
        run=before.run,
        started_at_s=before.started_at_s,
        changed_at_s=now_s,
        reason=reason,
        done=before.done,
        total=before.total,
    )
