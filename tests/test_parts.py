"""Tests of parts: split and join, and which parts a change rewrites."""

import curio
import hypothesis
import hypothesis.strategies as st
import pytest

from oleanderwood import configuration
from oleanderwood import errors
from oleanderwood import ids
from oleanderwood import parts
from oleanderwood import store
from tests import utils_configuration as build

OPERATION = ids.OperationId('op-1')
NAMES = st.lists(
    st.from_regex(r'[a-z0-9][a-z0-9._-]{0,9}', fullmatch=True),
    unique=True,
    max_size=40,
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(NAMES, st.floats(0, 9))
def test_join_gives_back_what_split_took(names, moves):
    whole = build.whole(
        teams=tuple(build.team(name) for name in names),
        weights=configuration.Weights(moves=moves),
    )
    joined = parts.join(parts.split(whole))
    assert joined == parts.canonical(whole)


def test_one_change_rewrites_one_small_part():
    whole, _ = build.design_size()
    before = parts.refer(parts.split(whole), {}, OPERATION)
    changed = configuration.Configuration(
        pools=(build.pool('service-000', size=5),) + whole.pools[1:],
        services=whole.services,
        teams=whole.teams,
        jobs=whole.jobs,
        waves=whole.waves,
    )
    later = ids.OperationId('op-2')
    split = parts.split(changed)
    after = parts.refer(split, before, later)
    (part,) = parts.written(after, later)
    assert part.startswith('pools/')
    assert len(split[part]) < 10_000


def test_damaged_part_is_refused():
    split = parts.split(build.whole())
    name = next(iter(split))
    with pytest.raises(errors.BadMessage):
        parts.join(split | {name: b'damaged'})
    with pytest.raises(errors.BadMessage):
        parts.join({'unknown/1': split[name]})


def _store_of(values):
    async def get(key):
        value = values.get(key)
        return None if value is None else store.Item(key, value, 1)

    return store.Store(get, *[None] * 5)


def test_fetch_reads_only_what_it_lacks():
    whole = build.whole()
    split = parts.split(whole)
    refs = parts.refer(split, {}, OPERATION)
    head = configuration.Head(
        ids.Revision(1), ids.Revision(0), refs, OPERATION
    )
    values = {parts.key(refs[part]): split[part] for part in split}
    known = {}
    fetched = curio.run(parts.fetch, _store_of(values), head, known)
    assert fetched == parts.canonical(whole)
    assert curio.run(parts.fetch, _store_of({}), head, known) == fetched
    assert curio.run(parts.fetch, _store_of({}), head) is None
    values[parts.key(next(iter(refs.values())))] = b'damaged'
    with pytest.raises(errors.BadMessage):
        curio.run(parts.fetch, _store_of(values), head)


def test_fetch_refuses_another_part_under_the_reference():
    """A part that can be read, but isn't the one that the head names."""
    split = parts.split(build.whole())
    other = parts.split(build.whole(pools=(build.pool('p', size=7),)))
    refs = parts.refer(split, {}, OPERATION)
    head = configuration.Head(
        ids.Revision(1), ids.Revision(0), refs, OPERATION
    )
    (name, *_) = [part for part in split if part.startswith('pools/')]
    (changed, *_) = [part for part in other if part.startswith('pools/')]
    values = {parts.key(refs[part]): split[part] for part in split}
    values[parts.key(refs[name])] = other[changed]
    with pytest.raises(errors.BadMessage, match='damaged'):
        curio.run(parts.fetch, _store_of(values), head)
