"""Access to a configuration in parts, as the store keeps it.

Each section is split into buckets by the names of its items, so that one
change rewrites one small part. A part is stored once under a reference
made of its content's hash and the operation that wrote it; references are
never shared by two operations, so that whoever wrote a part that no head
came to name may delete it.
"""

import hashlib

import msgspec

from oleanderwood import codec
from oleanderwood import configuration
from oleanderwood import errors
from oleanderwood import ids
from oleanderwood import store

BUCKETS = 16
"""Buckets of a section; a change of it changes all names of parts."""

HASH_BYTES = 16
SECTIONS = {
    'pools': configuration.Pool,
    'services': configuration.Service,
    'teams': configuration.Team,
    'jobs': configuration.Job,
    'waves': configuration.Wave,
}
WEIGHTS = 'weights'


def bucket(name: str) -> int:
    """Give the bucket of an item's name."""
    digest = hashlib.blake2b(name.encode(), digest_size=2).digest()
    return int.from_bytes(digest, 'big') % BUCKETS


def canonical(
    whole: configuration.Configuration,
) -> configuration.Configuration:
    """Sort each section by name: the order in the file means nothing."""
    sections = {
        section: tuple(sorted(getattr(whole, section), key=lambda i: i.name))
        for section in SECTIONS
    }
    return configuration.Configuration(weights=whole.weights, **sections)


def split(whole: configuration.Configuration) -> dict[str, bytes]:
    """Take a configuration apart; empty parts are left out.

    :returns: parts by name, as in ``pools/3``
    """
    buckets: dict[str, list] = {}
    ordered = canonical(whole)
    for section in SECTIONS:
        for item in getattr(ordered, section):
            part = f'{section}/{bucket(item.name)}'
            buckets.setdefault(part, []).append(item)
    split_up = {part: codec.pack(items) for part, items in buckets.items()}
    if whole.weights != configuration.Weights():
        split_up[WEIGHTS] = codec.pack(whole.weights)
    return split_up


def join(split_up: dict[str, bytes]) -> configuration.Configuration:
    """Put parts together, sections sorted by name.

    :raises errors.BadMessage: a part is damaged or of no known section
    """
    sections: dict[str, list] = {section: [] for section in SECTIONS}
    weights = configuration.Weights()
    for part, value in split_up.items():
        section = part.partition('/')[0]
        try:
            if section == WEIGHTS:
                weights = codec.unpack(value, configuration.Weights)
                continue
            items = codec.unpack(value, list[SECTIONS[section]])
        except (KeyError, msgspec.MsgspecError) as error:
            raise errors.BadMessage(500, f'part {part}: {error}') from error
        sections[section].extend(items)
    whole = configuration.Configuration(
        weights=weights, **{name: tuple(i) for name, i in sections.items()}
    )
    return canonical(whole)


def digest(value: bytes) -> str:
    """Hash a part's content."""
    return hashlib.blake2b(value, digest_size=HASH_BYTES).hexdigest()


def refer(
    split_up: dict[str, bytes],
    base: dict[str, str],
    operation: ids.OperationId,
) -> dict[str, str]:
    """Give each part its reference; unchanged parts keep the base's.

    :param base: references of the head that the change is based on
    """
    references = {}
    for part, value in split_up.items():
        content = digest(value)
        known = base.get(part, '')
        same = known.partition('.')[0] == content
        references[part] = known if same else f'{content}.{operation}'
    return references


def written(
    references: dict[str, str], operation: ids.OperationId
) -> dict[str, str]:
    """Pick the references that an operation has to write itself."""
    return {
        part: reference
        for part, reference in references.items()
        if reference.partition('.')[2] == operation
    }


def key(reference: str) -> str:
    """Name the store's key of a part."""
    return f'{store.CONFIG_PART_PREFIX}{reference}'


def intact(reference: str, value: bytes) -> bool:
    """Say whether a stored part is what its reference names."""
    return reference.partition('.')[0] == digest(value)


async def fetch(
    kept: store.Store,
    head: configuration.Head,
    known: dict[str, bytes] | None = None,
) -> configuration.Configuration | None:
    """Read the configuration of a head.

    :param known: parts held already, by reference; those read are added
    :returns: None if a part is gone: the head has moved on, read it again
    :raises errors.StoreUnavailable: the store didn't answer
    :raises errors.BadMessage: a part isn't what the head names
    """
    held = {} if known is None else known
    for part, reference in head.parts.items():
        if reference in held:
            continue
        item = await kept.get(key(reference))
        if item is None:
            return None
        if not intact(reference, item.value):
            raise errors.BadMessage(500, f'part {part} is damaged')
        held[reference] = item.value
    return join({part: held[ref] for part, ref in head.parts.items()})
