"""Access to the VM list with the newest copy kept."""

import collections.abc
import dataclasses

from oleanderwood import change
from oleanderwood import platform_api

ListVms = collections.abc.Callable[
    [int], collections.abc.Awaitable[platform_api.VmListing | None]
]


@dataclasses.dataclass
class Reader:
    """The call, and the newest list that it gave."""

    list_vms: ListVms
    newest: platform_api.VmListing = platform_api.VmListing(0, ())


async def read(reader: Reader) -> platform_api.VmListing:
    """Ask for the list; the copy stands while the list is unchanged.

    :raises errors.StoreUnavailable: ``NOT_RUN``: the platform didn't answer
    """
    with change.reading():
        found = await reader.list_vms(reader.newest.version)
    if found is not None and found.version >= reader.newest.version:
        reader.newest = found
    return reader.newest
