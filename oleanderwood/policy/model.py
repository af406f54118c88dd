"""The operators' policy, which complements the platform's configuration."""

import enum

import msgspec

from oleanderwood import ids


class Pool(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Guarantee for one pool.

    :ivar min_up: minimal number of machines that maintenance and moves must
        leave up
    """

    name: ids.ServiceId
    min_up: int = 0


class Team(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Quota of one team.

    :ivar queues: names of the queues to which the team submits jobs
    :ivar max_cores: maximal number of cores of its batch tasks that run at
        once
    """

    name: ids.TeamId
    queues: tuple[str, ...]
    max_cores: float


class Maintenance(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """When machines may be taken down for maintenance.

    :ivar not_between: daily time ranges (UTC), as in ``05:00-07:30``, in which
        no machine is taken down; a wave that would otherwise miss its end
        continues in them
    :ivar hold: no machine is taken down at all
    """

    not_between: tuple[str, ...] = ()
    hold: bool = False


class Weights(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Factors by which costs of machines differ from their defaults.

    :ivar buffer: cost of an idle machine that a pool keeps for future work
    :ivar moves: cost of moving a machine to another pool
    """

    buffer: float = 1.0
    moves: float = 1.0


class Mode(enum.Enum):
    """Whether a part of load control is in force."""

    AUTO = 'auto'
    ON = 'on'
    OFF = 'off'


class Load(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How overload, uneven demand and uneven workers are handled.

    :ivar max_wait_factor: a job that would end later than this multiple of
        its objective is refused
    :ivar usage_half_life_s: time in which half of a tenant's past use of
        workers stops counting for its share
    """

    admission: Mode = Mode.AUTO
    ordering: Mode = Mode.AUTO
    balancing: Mode = Mode.AUTO
    placement: Mode = Mode.AUTO
    max_wait_factor: float = 3.0
    usage_half_life_s: float = 5.0


class Policy(msgspec.Struct, frozen=True):
    """The content of a policy file."""

    pools: tuple[Pool, ...] = ()
    teams: tuple[Team, ...] = ()
    maintenance: Maintenance = Maintenance()
    weights: Weights = Weights()
    load: Load = Load()


class StoredPolicy(msgspec.Struct, frozen=True):
    """A policy as the store holds it.

    :ivar number: version, which each apply increases by one
    :ivar text: content of the file that was applied
    :ivar author: who applied it
    :ivar operation: id of the apply, by which its sender recognizes it
    :ivar at_ms: when it was applied, in milliseconds since 1970
    """

    number: int
    policy: Policy
    text: str
    author: str
    operation: ids.OperationId
    at_ms: float


NONE = StoredPolicy(0, Policy(), '', '', ids.OperationId(''), 0.0)
"""The policy in force before the first apply."""


def min_up(policy: Policy) -> dict[ids.ServiceId, int]:
    """Return the minimal number of machines that are up, by pool."""
    return {pool.name: pool.min_up for pool in policy.pools}
