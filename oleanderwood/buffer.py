"""Access to the shared spare: its size, and which VM goes to which pool."""

import collections.abc
import enum

import msgspec

from oleanderwood import configuration
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import reserve

NO_POOL = ids.PoolId('')
"""Where a VM comes from that the list has and no shard does."""


class MoveReason(enum.Enum):
    """Why a VM changes its pool."""

    ADOPTED = 'adopted'
    """New in the VM list, or its pool was removed."""

    BELOW_MINIMUM = 'below-minimum'
    """The pool has fewer VMs up than it must have."""

    BELOW_SIZE = 'below-size'
    """The pool has fewer VMs than its wanted size."""

    LOAN = 'loan'
    """Lent, so that a wave can take VMs of the pool."""

    RETURN = 'return'
    """A loan comes back."""


class Move(msgspec.Struct, frozen=True):
    """One VM that changes its pool."""

    vm: ids.VmId
    from_pool: ids.PoolId
    to_pool: ids.PoolId
    reason: MoveReason


class Loan(msgspec.Struct, frozen=True):
    """VMs beyond its size that a wave wants a pool to have for now."""

    pool: ids.PoolId
    extra: int


class Sizing(msgspec.Struct, frozen=True):
    """The spare VMs to hold: which, by data centre, and what is lacking.

    ``surplus`` are VMs that no promise needs; they may be handed back.
    """

    held: tuple[ids.VmId, ...]
    by_data_centre: dict[ids.DataCentre, int]
    surplus: tuple[ids.VmId, ...]
    lacking: tuple[reserve.Shortage, ...]


def assign(
    pools: collections.abc.Iterable[configuration.Pool],
    rows: collections.abc.Iterable[fleet.VmRow],
    sites: collections.abc.Mapping[ids.VmId, reserve.Site],
    weights: configuration.Weights,
    now_s: float,
    loans: collections.abc.Sequence[Loan] = (),
    pending: collections.abc.Sequence[Move] = (),
) -> tuple[Move, ...]:
    """Choose the moves that bring each pool to its size.

    The same input with the moves carried out gives no further move.

    :param rows: of all shards of the region
    :param sites: data centre and rack of all listed VMs of the region
    :param loans: what the waves ask for, most urgent first
    :param pending: earlier moves that are still under way
    """
    census = reserve.take_census(pools, rows, sites)
    del weights, now_s, loans
    known = {move.vm for move in pending}
    return tuple(
        Move(
            vm,
            NO_POOL,
            fleet.spare_pool(site.data_centre),
            MoveReason.ADOPTED,
        )
        for vm, site in sorted(sites.items())
        if vm not in census.rows and vm not in known
    )
