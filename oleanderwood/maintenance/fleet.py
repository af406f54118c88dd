"""Machines and maintenance waves, as the platform lists them."""

import enum

import msgspec

from oleanderwood import ids
from oleanderwood.jobs import model


class State(enum.Enum):
    """A machine's state, as the platform reports it."""

    UP = 'up'
    MOVING = 'moving'
    MAINTAINED = 'upkeep'
    DOWN = 'down'


class Machine(msgspec.Struct, frozen=True):
    """A machine; its executor changes with each restart.

    :ivar worker: its executor, '' if it has none now
    """

    machine: str
    pool: ids.PoolId
    state: State
    data_centre: ids.DataCentre = ids.DataCentre('')
    labels: tuple[str, ...] = ()
    capacity: model.Resources = model.Resources()
    worker: ids.ExecutorId = ids.ExecutorId('')


class Wave(msgspec.Struct, frozen=True):
    """Machines that are due for maintenance.

    :ivar time_s: time within which the maintenance of all has to be done
    :ivar most_at_once: maximum number of its machines that are down for it at
        the same time
    """

    wave: int
    machines: tuple[str, ...]
    time_s: float
    most_at_once: int
