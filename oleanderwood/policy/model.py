"""What operators promise and allow, beside the platform's configuration."""

import msgspec

from oleanderwood import ids


class Pool(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is promised of one pool.

    :ivar min_up: machines that maintenance and moves leave up
    """

    name: ids.ServiceId
    min_up: int = 0


class Team(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What one team may take.

    :ivar queues: names of the queues that the team hands jobs in to
    :ivar max_cores: cores of its batch tasks that run at once
    """

    name: ids.TeamId
    queues: tuple[str, ...]
    max_cores: float


class Maintenance(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """When machines may be taken down.

    :ivar not_between: hours of the day, UTC, as in ``05:00-07:30``; a wave
        that would not be done in time otherwise goes on in them
    :ivar hold: nothing is taken down at all
    """

    not_between: tuple[str, ...] = ()
    hold: bool = False


class Weights(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What machines cost, against what they usually do.

    :ivar buffer: a machine that waits in a pool for work to come
    :ivar moves: a machine that changes its pool
    """

    buffer: float = 1.0
    moves: float = 1.0


class Policy(msgspec.Struct, frozen=True):
    """The content of an operators' file."""

    pools: tuple[Pool, ...] = ()
    teams: tuple[Team, ...] = ()
    maintenance: Maintenance = Maintenance()
    weights: Weights = Weights()


class Kept(msgspec.Struct, frozen=True):
    """A policy as it lies in the store.

    :ivar number: grows by one with each apply
    :ivar text: the file as it was applied
    :ivar operation: names the apply, so that its sender knows it again
    :ivar at_ms: when it was applied, since 1970
    """

    number: int
    policy: Policy
    text: str
    author: str
    operation: ids.OperationId
    at_ms: float


NONE = Kept(0, Policy(), '', '', ids.OperationId(''), 0.0)
"""What is in force before the first apply."""


def min_up(policy: Policy) -> dict[ids.ServiceId, int]:
    """Give how many machines each pool keeps up, by its name."""
    return {pool.name: pool.min_up for pool in policy.pools}
