"""Access to the rules that every change of VM rows has to keep.

Pure. A change replaces one row of one shard; a write carries any number of
them. The rules are checked here a second time, whatever decided them.
"""

import collections
import collections.abc
import enum
import typing

import msgspec

from oleanderwood import configuration
from oleanderwood import errors
from oleanderwood import fleet
from oleanderwood import ids

State = fleet.VmState
Shards = collections.abc.Mapping[ids.DataCentre, fleet.Shard]
Released = collections.abc.Container[tuple[ids.VmId, ids.Epoch]]
"""VMs, by epoch, at which no entry holds work."""

IN_ONE_POOL = 'vm-in-one-pool'
MIN_UP = 'pool-keeps-min-up'
STEPS = 'vm-state-steps'
EPOCHS = 'epochs-grow'
RELEASED = 'released-before-taken'


class Cause(enum.Enum):
    """Why a row changes; only the planned ones wait for the budgets."""

    WAVE = 'wave'
    MOVE = 'move'
    UNFIT = 'unfit'
    """Up but not fit to serve, as the platform says."""

    FAILED = 'failed'
    LEAVING = 'leaving'
    JOINED = 'joined'
    VANISHED = 'vanished'
    PROGRESS = 'progress'
    """The next step of a VM that doesn't serve."""


PLANNED = frozenset((Cause.WAVE, Cause.MOVE, Cause.UNFIT))


class Change(msgspec.Struct, frozen=True):
    """One row's change; ``before`` None adds it, ``after`` None removes."""

    data_centre: ids.DataCentre
    before: fleet.VmRow | None
    after: fleet.VmRow | None
    cause: Cause


class Breach(msgspec.Struct, frozen=True):
    """A rule that a change or a state breaks."""

    invariant: str
    detail: str


_STEPS = frozenset(
    (
        (State.SERVING, State.RELEASING),
        (State.SERVING, State.RETURNING),
        (State.RELEASING, State.SERVING),
        (State.RELEASING, State.DRAINING),
        (State.DRAINING, State.REBOOTING),
        (State.DRAINING, State.RETURNING),
        (State.REBOOTING, State.RETURNING),
        (State.RETURNING, State.SERVING),
        (State.BROKEN, State.RETURNING),
    )
)
"""The state changes that are allowed besides any state to ``BROKEN``."""


def is_spare(pool: ids.PoolId) -> bool:
    """Say whether a pool holds spare VMs, to which no work is sent."""
    return pool.startswith(fleet.SPARE_PREFIX)


def may_hold_work(row: fleet.VmRow) -> bool:
    """Say whether an entry may hold the row's grant, or an earlier one.

    Spare VMs have no service, and past ``RELEASING`` all have released.
    """
    if row.state in (State.DRAINING, State.REBOOTING):
        return False
    return not is_spare(row.pool)


def rows_of(
    shards: Shards,
) -> collections.abc.Iterator[tuple[ids.DataCentre, fleet.VmRow]]:
    """Give each row with its data centre."""
    for data_centre, shard in shards.items():
        for row in shard.rows:
            yield data_centre, row


def serving(shards: Shards) -> collections.Counter[ids.PoolId]:
    """Count the serving VMs of each pool."""
    return collections.Counter(
        row.pool for _, row in rows_of(shards) if row.state is State.SERVING
    )


def change(
    data_centre: ids.DataCentre,
    row: fleet.VmRow,
    cause: Cause,
    now_s: float,
    **fields: typing.Any,
) -> Change:
    """Change some fields of a row; pool or state raise its epoch."""
    after = msgspec.structs.replace(row, changed_at_s=now_s, **fields)
    if (after.pool, after.state) != (row.pool, row.state):
        epoch = ids.Epoch(row.epoch + 1)
        after = msgspec.structs.replace(after, epoch=epoch)
    return Change(data_centre, row, after, cause)


def apply(
    shard: fleet.Shard,
    changes: collections.abc.Iterable[Change],
    term: int,
    listing_version: int = 0,
) -> fleet.Shard:
    """Make the shard that a write of the changes leaves.

    :raises errors.InvariantBreach: a change is of another state
    """
    revision = ids.Revision(shard.revision + 1)
    rows = {row.vm: row for row in shard.rows}
    for one in changes:
        _put(rows, one, revision)
    return fleet.Shard(
        data_centre=shard.data_centre,
        revision=revision,
        term=term,
        rows=tuple(rows.values()),
        listing_version=max(shard.listing_version, listing_version),
    )


def _put(
    rows: dict[ids.VmId, fleet.VmRow], one: Change, revision: ids.Revision
) -> None:
    if one.before is None:
        vm = one.after.vm
        # Above any epoch that the VM had here before it went.
        row = msgspec.structs.replace(one.after, epoch=ids.Epoch(revision))
    else:
        vm = one.before.vm
        row = one.after
    if rows.get(vm) != one.before:
        raise errors.InvariantBreach(f'VM {vm} changed in between')
    if row is None:
        del rows[vm]
    else:
        rows[vm] = row


def breaches_of_state(shards: Shards) -> list[Breach]:
    """Look for VMs that stand in more than one row."""
    counts = collections.Counter(row.vm for _, row in rows_of(shards))
    return [
        Breach(IN_ONE_POOL, f'VM {vm} stands in {count} rows.')
        for vm, count in counts.items()
        if count > 1
    ]


def breaches_of_changes(
    shards: Shards,
    changes: collections.abc.Sequence[Change],
    pools: collections.abc.Mapping[ids.PoolId, configuration.Pool],
    released: Released,
) -> list[Breach]:
    """Check changes, for any shards, against the state they start from."""
    found = [breach for one in changes for breach in _of_one(one)]
    found += _of_release(changes, released)
    found += _of_joining(shards, changes)
    found += _of_min_up(shards, changes, pools)
    return found


def _of_one(one: Change) -> list[Breach]:
    before, after = one.before, one.after
    if before is None or after is None:
        return []
    found = []
    moved = before.pool != after.pool
    stepped = before.state is not after.state
    expected = before.epoch + int(moved or stepped)
    if after.epoch != expected:
        detail = f'VM {after.vm} goes from {before.epoch} to {after.epoch}.'
        found.append(Breach(EPOCHS, detail))
    step = (before.state, after.state)
    allowed = step in _STEPS or after.state is State.BROKEN or not stepped
    if not allowed:
        detail = f'VM {after.vm}: {step[0].value} to {step[1].value}.'
        found.append(Breach(STEPS, detail))
    if moved and before.state is State.SERVING and not is_spare(before.pool):
        detail = f'VM {after.vm} leaves {before.pool} while it serves.'
        found.append(Breach(IN_ONE_POOL, detail))
    return found


def _of_release(
    changes: collections.abc.Iterable[Change], released: Released
) -> list[Breach]:
    """A VM is taken, moved or dropped only once no entry holds work."""
    found = []
    for one in changes:
        before = one.before
        if before is None or not may_hold_work(before):
            continue
        if not _takes(before, one.after):
            continue
        if (before.vm, before.epoch) not in released:
            detail = f'VM {before.vm} is taken at epoch {before.epoch}.'
            found.append(Breach(RELEASED, detail))
    return found


def _takes(before: fleet.VmRow, after: fleet.VmRow | None) -> bool:
    if after is None or after.pool != before.pool:
        return True
    if after.state in (State.DRAINING, State.REBOOTING):
        return True
    return after.state is State.BROKEN and after.operation != before.operation


def _of_joining(
    shards: Shards, changes: collections.abc.Iterable[Change]
) -> list[Breach]:
    joining = [one.after.vm for one in changes if one.before is None]
    if not joining:
        return []
    known = collections.Counter(joining)
    known.update(row.vm for _, row in rows_of(shards))
    return [
        Breach(IN_ONE_POOL, f'VM {vm} joins and stands in a row already.')
        for vm in dict.fromkeys(joining)
        if known[vm] > 1
    ]


def _of_min_up(
    shards: Shards,
    changes: collections.abc.Iterable[Change],
    pools: collections.abc.Mapping[ids.PoolId, configuration.Pool],
) -> list[Breach]:
    """Planned losses must leave ``min_up``; gains of one go aren't counted.

    The shards of one go are written one after the other, so a gain may not
    be there yet when a loss is.
    """
    lost = collections.Counter()
    planned = set()
    for one in changes:
        if not leaves_service(one):
            continue
        lost[one.before.pool] += 1
        if one.cause in PLANNED:
            planned.add(one.before.pool)
    if not planned:
        return []
    up = serving(shards)
    found = []
    for pool_id in planned & pools.keys():
        left = up[pool_id] - lost[pool_id]
        if left < pools[pool_id].min_up:
            detail = f'{pool_id} would have {left} VMs serving.'
            found.append(Breach(MIN_UP, detail))
    return found


def leaves_service(one: Change) -> bool:
    """Say whether a change takes a serving VM from its pool."""
    before, after = one.before, one.after
    if before is None or before.state is not State.SERVING:
        return False
    if after is None:
        return True
    return (after.pool, after.state) != (before.pool, before.state)
