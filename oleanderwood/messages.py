"""Access to the messages between the system's own processes (gRPC)."""

import msgspec

from oleanderwood import configuration as configurations
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import roster as rosters


class Load(msgspec.Struct, frozen=True, array_like=True):
    """Requests that one entry has in flight at one upstream."""

    vm: ids.VmId
    in_flight: int


class GossipRequest(msgspec.Struct, frozen=True):
    """What an entry tells a peer about once a second.

    A reply to it counts as contact for the sender; its arrival is what
    the receiver reports as heard.
    """

    entry: ids.EntryId
    incarnation: str
    config_revision: ids.Revision
    shard_revisions: dict[str, int]
    loads: tuple[Load, ...] = ()


class GossipReply(msgspec.Struct, frozen=True):
    """The receiver's own state, by which the sender sees what it lacks."""

    entry: ids.EntryId
    config_revision: ids.Revision
    shard_revisions: dict[str, int]
    loads: tuple[Load, ...] = ()


class FetchRequest(msgspec.Struct, frozen=True):
    """Asks a peer for what the store can't give at the moment."""

    config: bool = False
    shards: tuple[ids.DataCentre, ...] = ()
    roster: bool = False


class FetchReply(msgspec.Struct, frozen=True):
    """The peer's copies; ``None`` and missing shards mean it has none."""

    head: configurations.Head | None = None
    configuration: configurations.Configuration | None = None
    shards: tuple[fleet.Shard, ...] = ()
    roster: rosters.Roster | None = None


class PrepareRequest(msgspec.Struct, frozen=True):
    """Asks an entry to hold a staged revision ready.

    An entry that acknowledged is in doubt until it learns that the head
    moved to this revision or past it, or that the stage was dropped.
    """

    head: configurations.Head
    configuration: configurations.Configuration


class PrepareReply(msgspec.Struct, frozen=True):
    """``acknowledged`` or the reason why not."""

    acknowledged: bool
    revision: ids.Revision
    reason: str = ''


class CommitRequest(msgspec.Struct, frozen=True):
    """Tells an entry that a staged revision was accepted, or dropped."""

    revision: ids.Revision
    operation: ids.OperationId
    accepted: bool


class CommitReply(msgspec.Struct, frozen=True):
    """The revision in force at the entry after the call."""

    revision: ids.Revision


class ReleaseRequest(msgspec.Struct, frozen=True):
    """Offers a shard's newest rows and asks what is still held."""

    shard: fleet.Shard


class ReleaseReply(msgspec.Struct, frozen=True):
    """What an entry still holds.

    ``revision`` is the shard's revision that the entry follows;
    ``in_flight`` counts requests at VMs that don't serve under it.
    """

    entry: ids.EntryId
    incarnation: str
    revision: ids.Revision
    in_flight: dict[str, int]


class HeardRequest(msgspec.Struct, frozen=True):
    """Asks when a peer last heard of some entries."""

    entries: tuple[ids.EntryId, ...]


class HeardReply(msgspec.Struct, frozen=True):
    """Seconds since each entry's last request arrived here.

    ``up_s`` is how long this process has run: an entry not heard of is as
    old as that and no older.
    """

    entry: ids.EntryId
    ages_s: dict[str, float]
    up_s: float
