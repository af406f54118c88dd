"""Access to the platform's store: the interface that all parts use.

``Store`` is a record of functions, so that a daemon, a test and a
measurement each bring their own: :mod:`oleanderwood.store_http` talks to
the platform, tests bring one in memory.
"""

import collections.abc
import dataclasses

from oleanderwood import ids

ABSENT = 0
"""Version of a key that doesn't exist; writing against it creates."""

CONFIG_HEAD_KEY = 'config/head'
CONFIG_STAGED_KEY = 'config/staged'
CONFIG_PART_PREFIX = 'config/parts/'
ROSTER_KEY = 'roster'
LEADER_PREFIX = 'leader/'


@dataclasses.dataclass(frozen=True)
class Item:
    """A value with the version that a compare-and-swap names."""

    key: str
    value: bytes
    version: int


@dataclasses.dataclass(frozen=True)
class Store:
    """The calls that the platform's store answers; each counts as one.

    All are coroutine functions and raise
    :class:`oleanderwood.errors.StoreUnavailable` when no answer came.

    ``get(key)`` gives an :class:`Item` or None.

    ``swap(key, value, version, operation, lease)`` writes if the key is at
    ``version`` (``ABSENT``: doesn't exist) and gives the new version. The
    value is kept with its writer's operation id, by which a lost answer is
    resolved, so the call itself raises ``MAY_HAVE_RUN`` only when reading
    back failed as well; ``lease`` (or None) ties the key to a lease.
    Raises :class:`oleanderwood.errors.StoreConflict`.

    ``delete(key, version)`` removes under the same rule.

    ``watch(key, version, wait_s)`` gives the item (None: deleted) as soon
    as its version differs from ``version``, or raises
    :class:`TimeoutError` after ``wait_s``; a waiting watch counts as one
    call.

    ``grant(ttl_s)`` gives a lease id; ``keep_alive(lease)`` gives the
    seconds it was renewed for, 0 if it has lapsed.
    """

    get: collections.abc.Callable[
        [str], collections.abc.Awaitable[Item | None]
    ]
    swap: collections.abc.Callable[
        [str, bytes, int, ids.OperationId, str | None],
        collections.abc.Awaitable[int],
    ]
    delete: collections.abc.Callable[
        [str, int], collections.abc.Awaitable[None]
    ]
    watch: collections.abc.Callable[
        [str, int, float], collections.abc.Awaitable[Item | None]
    ]
    grant: collections.abc.Callable[[float], collections.abc.Awaitable[str]]
    keep_alive: collections.abc.Callable[
        [str], collections.abc.Awaitable[float]
    ]
