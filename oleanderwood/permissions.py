"""Access to what an entry may do at a VM, as the request path uses it."""

import collections.abc
import dataclasses

from oleanderwood import errors
from oleanderwood import ids

MaySend = collections.abc.Callable[[ids.VmId, ids.Epoch, float], bool]
Count = collections.abc.Callable[[ids.VmId, ids.Epoch], None]


class Gone(errors.CallFailed):
    """The entry holds no grant for the VM any more; nothing was sent."""


@dataclasses.dataclass(frozen=True)
class Permissions:
    """What an entry may do, as a record of functions.

    ``may_send(vm, epoch, now_s)`` says whether a request may be written
    now. ``begin(vm, epoch)`` and ``end(vm, epoch)`` count it in flight.
    """

    may_send: MaySend
    begin: Count
    end: Count
