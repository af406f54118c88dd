"""Access to changing one value of the store by compare-and-swap."""

import collections.abc
import contextlib
import typing

from oleanderwood import codec
from oleanderwood import errors
from oleanderwood import ids
from oleanderwood import store
from oleanderwood import verdict as verdicts

T = typing.TypeVar('T')

MAX_ATTEMPTS = 20


@contextlib.contextmanager
def reading() -> collections.abc.Iterator[None]:
    """Make a read that failed ``NOT_RUN``: it has changed nothing."""
    try:
        yield
    except errors.CallFailed as error:
        raise errors.StoreUnavailable(
            verdicts.Verdict.NOT_RUN, error.reason
        ) from error


async def read(
    kept: store.Store, key: str, empty: T
) -> tuple[T, store.Item | None]:
    """Read a value.

    :param empty: what an absent key stands for; gives the type as well
    :raises errors.StoreUnavailable: ``NOT_RUN``
    """
    with reading():
        item = await kept.get(key)
    if item is None:
        return empty, None
    return codec.unpack(item.value, type(empty)), item


async def change(
    kept: store.Store,
    key: str,
    empty: T,
    transform: collections.abc.Callable[[T], T],
    operation: ids.OperationId,
    always: bool = False,
) -> T:
    """Apply a pure function to a value, again if another came first.

    :param always: write a result that equals the value, too
    :raises errors.StoreUnavailable: with the verdict of the write
    :raises errors.StoreConflict: others were faster each time
    """
    for attempt in range(MAX_ATTEMPTS):
        before, item = await read(kept, key, empty)
        after = transform(before)
        if after == before and not always:
            return before
        version = store.ABSENT if item is None else item.version
        name = ids.OperationId(f'{operation}-{attempt}')
        try:
            await kept.swap(key, codec.pack(after), version, name, None)
        except errors.StoreConflict:
            continue
        return after
    raise errors.StoreConflict(f'{key}: {MAX_ATTEMPTS} others were faster')
