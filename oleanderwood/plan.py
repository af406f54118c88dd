"""Access to what an apply would move: the controller's own decision.

A plan shows the moves that the buffer's decision makes for the new file
from the rows as they are. The controller decides anew at each step, so
what it does may differ once the fleet has changed.
"""

import collections

import msgspec

from oleanderwood import buffer
from oleanderwood import configuration
from oleanderwood import difference
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import platform_api
from oleanderwood import reserve

Vms = tuple[platform_api.ListedVm, ...]
Shards = tuple[fleet.Shard, ...]


class Move(msgspec.Struct, frozen=True):
    """One VM that would change its pool, and why."""

    vm: ids.VmId
    data_centre: ids.DataCentre
    from_pool: ids.PoolId
    to_pool: ids.PoolId
    reason: str


class PoolChange(msgspec.Struct, frozen=True):
    """VMs of one pool before and after."""

    pool: ids.PoolId
    have: int
    want: int


class Plan(msgspec.Struct, frozen=True):
    """What an apply would change and move."""

    changes: tuple[difference.Change, ...]
    pools: tuple[PoolChange, ...]
    moves: tuple[Move, ...]


def make(
    before: configuration.Configuration,
    after: configuration.Configuration,
    vms: Vms,
    shards: Shards,
) -> Plan:
    """Work out what an apply would change and move.

    :param vms: the live VMs
    :param shards: the rows that say which pool has which VM now
    """
    rows = _rows(vms, shards)
    moves: list[Move] = []
    for region in sorted({vm.region for vm in vms}):
        own = tuple(vm for vm in vms if vm.region == region)
        moves += _moves(before, after, region, own, rows)
    have = collections.Counter(
        row.pool
        for row in rows.values()
        if not row.pool.startswith(fleet.SPARE_PREFIX)
    )
    want = have.copy()
    for move in moves:
        want[move.from_pool] -= 1
        want[move.to_pool] += 1
    return Plan(
        changes=difference.diff(before, after),
        pools=tuple(
            PoolChange(pool, have[pool], want[pool])
            for pool in sorted(have | want)
            if have[pool] != want[pool]
            and not pool.startswith(fleet.SPARE_PREFIX)
        ),
        moves=tuple(moves),
    )


def _rows(vms: Vms, shards: Shards) -> dict[ids.VmId, fleet.VmRow]:
    """Give the rows of all live VMs; those that have none yet are spare."""
    rows = {row.vm: row for shard in shards for row in shard.rows}
    return {vm.vm: rows.get(vm.vm) or _spare_row(vm) for vm in vms}


def _spare_row(vm: platform_api.ListedVm) -> fleet.VmRow:
    return fleet.VmRow(
        vm=vm.vm,
        pool=fleet.spare_pool(vm.data_centre),
        state=fleet.VmState.SERVING,
        epoch=ids.Epoch(1),
        rack=vm.rack,
        address=vm.address,
    )


def _moves(
    before: configuration.Configuration,
    after: configuration.Configuration,
    region: str,
    vms: Vms,
    rows: dict[ids.VmId, fleet.VmRow],
) -> list[Move]:
    old = {pool.name: pool for pool in before.pools}
    new = {pool.name: pool for pool in after.pools}
    places = {vm.vm: vm.data_centre for vm in vms}
    chosen = buffer.assign(
        [pool for pool in after.pools if pool.region == region],
        [rows[vm.vm] for vm in vms],
        {vm.vm: reserve.Site(vm.data_centre, vm.rack) for vm in vms},
        after.weights,
        0.0,
    )
    return [
        Move(
            move.vm,
            places[move.vm],
            move.from_pool,
            move.to_pool,
            _reason(move, old, new),
        )
        for move in chosen
        if move.from_pool != move.to_pool
    ]


def _reason(
    move: buffer.Move,
    old: dict[str, configuration.Pool],
    new: dict[str, configuration.Pool],
) -> str:
    """Say what of the file asks for a move, else what the buffer says."""
    source, target = move.from_pool, move.to_pool
    if source in old and source not in new:
        return f'pool {source} is removed'
    if target in new and target not in old:
        return f'pool {target} is new'
    for name in (target, source):
        if name in old and name in new and old[name].size != new[name].size:
            return f'size of {name}: {old[name].size} to {new[name].size}'
    return move.reason.value
