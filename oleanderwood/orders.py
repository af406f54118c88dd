"""Access to the platform's orders and statuses of single VMs.

An order goes out only while its row, which the store holds, names it; see
:mod:`oleanderwood.lifecycle`.
"""

import collections.abc
import dataclasses
import logging
import typing

import curio

from oleanderwood import errors
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import lifecycle
from oleanderwood import platform_api

LOG = logging.getLogger('orders')

WORKERS = 8
"""Calls to the platform that are made at once."""

T = typing.TypeVar('T')
State = fleet.VmState
Probe = collections.abc.Callable[
    [ids.Address], collections.abc.Awaitable[bool]
]


@dataclasses.dataclass
class Sightings:
    """What the platform said last of single VMs.

    :ivar statuses: by VM, as of this pass
    :ivar probed: VMs whose upstream accepted a connection in this pass
    :ivar unknown: VMs that the platform said it doesn't have, in this pass
    :ivar refused: orders that the platform refused, with why
    """

    statuses: dict[ids.VmId, platform_api.PlatformVm] = dataclasses.field(
        default_factory=dict
    )
    probed: set[ids.VmId] = dataclasses.field(default_factory=set)
    unknown: set[ids.VmId] = dataclasses.field(default_factory=set)
    refused: dict[ids.VmId, str] = dataclasses.field(default_factory=dict)


def must_look(row: fleet.VmRow) -> bool:
    """Say whether a row's next step depends on its VM's status."""
    return row.state is not State.SERVING


async def look(
    platform: platform_api.Platform,
    probe: Probe,
    rows: collections.abc.Iterable[fleet.VmRow],
    seen: Sightings,
) -> None:
    """Ask for the statuses of some VMs, and probe those that return."""
    seen.statuses = {}
    seen.probed = set()
    seen.unknown = set()

    async def one(row: fleet.VmRow) -> None:
        try:
            status = await platform.vm_status(row.vm)
        except errors.CallFailed as error:
            LOG.debug('No status of %s: %s.', row.vm, error.reason)
            if _is_unknown(error):
                seen.unknown.add(row.vm)
            return
        seen.statuses[row.vm] = status
        returns = row.state is State.RETURNING and status.healthy
        if returns and await probe(row.address):
            seen.probed.add(row.vm)

    await for_each(rows, one)


def _is_unknown(error: errors.CallFailed) -> bool:
    if not isinstance(error, platform_api.Refused):
        return False
    return error.status == platform_api.NO_SUCH


async def send(
    platform: platform_api.Platform,
    rows: collections.abc.Iterable[fleet.VmRow],
    seen: Sightings,
    may_send: collections.abc.Callable[[], bool],
) -> None:
    """Send the orders that stand in rows, unless seen as taken.

    :param may_send: asked directly before each order
    """
    calls = {
        lifecycle.OrderKind.DRAIN: platform.drain,
        lifecycle.OrderKind.UNDRAIN: platform.undrain,
        lifecycle.OrderKind.REBOOT: platform.reboot,
        lifecycle.OrderKind.REPLACE: platform.replace,
    }

    async def one(row: fleet.VmRow) -> None:
        order = lifecycle.order(row)
        if order is None or not may_send():
            return
        command = platform_api.Command(order.operation)
        try:
            await calls[order.kind](order.vm, command)
        except errors.CallFailed as error:
            seen.refused[row.vm] = error.reason
            LOG.warning(
                'Order %s to %s failed: %s.',
                order.kind.value,
                order.vm,
                error.reason,
            )
            return
        seen.refused.pop(row.vm, None)
        LOG.info('Ordered %s to %s.', order.vm, order.kind.value)

    due = [
        row
        for row in rows
        if row.operation
        and not lifecycle.taken(row, seen.statuses.get(row.vm))
    ]
    await for_each(due, one)


async def for_each(
    items: collections.abc.Iterable[T],
    one: collections.abc.Callable[[T], collections.abc.Awaitable[None]],
) -> None:
    """Call a coroutine function for each item, a few at once.

    The first error ends the others and is raised.
    """
    left = list(items)
    left.reverse()

    async def work() -> None:
        while left:
            await one(left.pop())

    async with curio.TaskGroup(wait=all) as group:
        for _ in range(min(WORKERS, len(left))):
            await group.spawn(work)
    for error in group.exceptions:
        if error is not None:
            raise error
