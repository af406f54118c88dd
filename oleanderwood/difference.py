"""Access to what changes between two configurations, and what it moves."""

import collections
import enum
import typing

import msgspec

from oleanderwood import configuration
from oleanderwood import fleet
from oleanderwood import parts
from oleanderwood import platform_api

SUMMARY_NAMES = 5
"""Names that a summary gives of each section."""


class Kind(enum.Enum):
    """What happens to an item."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'


class FieldChange(msgspec.Struct, frozen=True):
    """One field before and after, as in the file."""

    field: str
    before: typing.Any
    after: typing.Any


class Change(msgspec.Struct, frozen=True):
    """What happens to one item of a section."""

    section: str
    name: str
    kind: Kind
    fields: tuple[FieldChange, ...] = ()


class Move(msgspec.Struct, frozen=True):
    """VMs that one pool gains or loses in one data centre, and why."""

    pool: str
    data_centre: str
    have: int
    want: int
    reason: str


class Plan(msgspec.Struct, frozen=True):
    """What an apply would change and move.

    ``joining`` VMs come to pools and ``leaving`` ones go from them, in all.
    """

    changes: tuple[Change, ...]
    moves: tuple[Move, ...]
    joining: int
    leaving: int


def diff(
    before: configuration.Configuration, after: configuration.Configuration
) -> tuple[Change, ...]:
    """List what changes, sorted by section and name."""
    changes: list[Change] = []
    for section in parts.SECTIONS:
        changes += _section(
            section,
            {item.name: item for item in getattr(before, section)},
            {item.name: item for item in getattr(after, section)},
        )
    fields = _fields(before.weights, after.weights)
    if fields:
        changes.append(Change(parts.WEIGHTS, '', Kind.CHANGED, fields))
    return tuple(changes)


def _section(section: str, before: dict, after: dict) -> list[Change]:
    changes = []
    for name in sorted(before.keys() | after.keys()):
        if name not in before:
            changes.append(Change(section, name, Kind.ADDED))
        elif name not in after:
            changes.append(Change(section, name, Kind.REMOVED))
        elif before[name] != after[name]:
            fields = _fields(before[name], after[name])
            changes.append(Change(section, name, Kind.CHANGED, fields))
    return changes


def _fields(
    before: configuration.Struct, after: configuration.Struct
) -> tuple[FieldChange, ...]:
    old = msgspec.to_builtins(before)
    new = msgspec.to_builtins(after)
    return tuple(
        FieldChange(field, old[field], new[field])
        for field in old
        if old[field] != new[field]
    )


def summary(changes: tuple[Change, ...]) -> str:
    """Say in one short line what changes."""
    groups: dict[tuple[str, Kind], list[str]] = {}
    for change in changes:
        key = (change.section, change.kind)
        groups.setdefault(key, []).append(change.name)
    said = []
    for (section, kind), names in groups.items():
        shown = ', '.join(name for name in names[:SUMMARY_NAMES] if name)
        more = len(names) - SUMMARY_NAMES
        tail = f' and {more} more' if more > 0 else ''
        said.append(f'{section} {kind.value}: {shown}{tail}'.rstrip(': '))
    return '; '.join(said) or 'nothing'


def plan(
    before: configuration.Configuration,
    after: configuration.Configuration,
    vms: tuple[platform_api.ListedVm, ...],
    shards: tuple[fleet.Shard, ...],
) -> Plan:
    """Work out what an apply would change and move.

    A pool's size is spread evenly over its data centres; the controller
    may choose otherwise within the same sizes.

    :param vms: the live VMs
    :param shards: the rows that say which pool has which VM now
    """
    there = collections.Counter(vm.data_centre for vm in vms)
    have = collections.Counter(
        (row.pool, shard.data_centre) for shard in shards for row in shard.rows
    )
    want = {
        (pool.name, place): count
        for pool in after.pools
        for place, count in _even(pool, there).items()
    }
    moves = _moves(before, after, have, want)
    return Plan(
        changes=diff(before, after),
        moves=moves,
        joining=sum(max(0, move.want - move.have) for move in moves),
        leaving=sum(max(0, move.have - move.want) for move in moves),
    )


def _even(
    pool: configuration.Pool, there: collections.Counter[str]
) -> dict[str, int]:
    """Spread a pool's size evenly over data centres with room."""
    counts = dict.fromkeys(pool.data_centres, 0)
    for _ in range(pool.size):
        open_ones = [p for p in counts if counts[p] < there[p]]
        if not open_ones:
            break
        counts[min(open_ones, key=lambda p: (counts[p], p))] += 1
    return counts


def _moves(
    before: configuration.Configuration,
    after: configuration.Configuration,
    have: collections.Counter[tuple[str, str]],
    want: dict[tuple[str, str], int],
) -> tuple[Move, ...]:
    old = {pool.name: pool for pool in before.pools}
    new = {pool.name: pool for pool in after.pools}
    moves = []
    for pool, place in sorted(have.keys() | want.keys()):
        if pool.startswith(fleet.SPARE_PREFIX):
            continue
        has, wants = have[pool, place], want.get((pool, place), 0)
        if has != wants:
            reason = _reason(place, old.get(pool), new.get(pool))
            moves.append(Move(pool, place, has, wants, reason))
    return tuple(moves)


def _reason(
    place: str,
    old: configuration.Pool | None,
    new: configuration.Pool | None,
) -> str:
    if new is None:
        return 'the pool is removed'
    if old is None:
        return 'the pool is new'
    if place not in new.data_centres:
        return 'the pool leaves the data centre'
    if place not in old.data_centres:
        return 'the pool comes to the data centre'
    if old.size != new.size:
        return f'size changes from {old.size} to {new.size}'
    return 'the VMs are not spread evenly now'
