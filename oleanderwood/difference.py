"""Access to what changes between two configurations."""

import enum
import typing

import msgspec

from oleanderwood import configuration
from oleanderwood import parts

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
