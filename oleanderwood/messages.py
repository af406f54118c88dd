"""Access to the messages between the system's own processes (gRPC)."""

import msgspec

from oleanderwood import buckets as bucket_tables
from oleanderwood import configuration as configurations
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import roster as rosters


class Load(msgspec.Struct, frozen=True, array_like=True):
    """Requests that one entry has in flight at one upstream."""

    vm: ids.VmId
    in_flight: int


class ShardLoads(msgspec.Struct, frozen=True, array_like=True):
    """Loads of a shard's VMs, a byte each, in the order of its rows.

    Who follows another revision can't tell which VMs these are.
    """

    data_centre: ids.DataCentre
    revision: ids.Revision
    in_flight: bytes


class Standing(msgspec.Struct, frozen=True, array_like=True):
    """What an entry follows and how well it stands, at one moment.

    ``vouches``: it is on the roster, not isolated and not stopping, so
    that its reply counts as contact. ``contact_age_s`` is the age of its
    own contact.
    """

    entry: ids.EntryId
    incarnation: str
    vouches: bool
    contact_age_s: float
    config_revision: ids.Revision
    roster_revision: ids.Revision
    shard_revisions: dict[str, int]


class GossipRequest(msgspec.Struct, frozen=True, array_like=True):
    """What an entry tells a peer about once a second.

    Its arrival is what the receiver reports as heard. ``peer`` is where
    the receiver may fetch what it lacks.
    """

    standing: Standing
    peer: ids.Address
    loads: tuple[ShardLoads, ...] = ()


class GossipReply(msgspec.Struct, frozen=True, array_like=True):
    """The receiver's own state.

    It counts as contact for the sender if the receiver vouches and the
    sender follows each shard at least as far.
    """

    standing: Standing
    loads: tuple[ShardLoads, ...] = ()


class FetchRequest(msgspec.Struct, frozen=True):
    """Asks a peer for what the store can't give at the moment."""

    config: bool = False
    shards: tuple[ids.DataCentre, ...] = ()
    roster: bool = False
    buckets: bool = False


class FetchReply(msgspec.Struct, frozen=True):
    """The peer's copies; ``None`` and missing shards mean it has none."""

    head: configurations.Head | None = None
    configuration: configurations.Configuration | None = None
    shards: tuple[fleet.Shard, ...] = ()
    roster: rosters.Roster | None = None
    buckets: bucket_tables.Table | None = None


class SponsorRequest(msgspec.Struct, frozen=True):
    """Asks a rostered entry to answer for one that can't join now.

    Sent again each second; the sponsor names the asker in its replies to
    :class:`ReleaseRequest` until it hasn't been asked for a while.
    """

    member: rosters.Member


class SponsorReply(msgspec.Struct, frozen=True):
    """Whether the asker is sponsored.

    If so, the asker's contact is as old as the sponsor's, and the asker
    must follow each shard at least as far before it sends work.
    """

    sponsored: bool
    standing: Standing
    reason: str = ''


class PrepareRequest(msgspec.Struct, frozen=True):
    """Asks an entry to hold a staged revision ready.

    An entry that acknowledged is in doubt until it learns that the head
    moved to this revision or past it, or that the stage was dropped.
    ``base_version`` is the store's version of the head that the swap
    names: once the head is past it, the stage is void.
    """

    head: configurations.Head
    configuration: configurations.Configuration
    base_version: int | None = None


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
    """Asks what is still held of a shard.

    ``shard`` offers its newest rows; it is left out for an entry that most
    likely follows them by its own watch, and ``data_centre`` names it.
    """

    shard: fleet.Shard | None
    data_centre: ids.DataCentre


class ReleaseReply(msgspec.Struct, frozen=True):
    """What an entry holds of a shard, at one moment.

    ``revision`` is the shard's revision that the entry follows, 0 for
    none. ``in_flight`` counts requests at VMs that don't serve under it,
    or serve under a later epoch. ``heard_ages_s`` gives, by incarnation,
    the seconds since a process last sent something here; one that isn't
    named wasn't heard for ``up_s``, the age of this process, or more.
    ``sponsored`` are the entries that hold grants through this one.
    """

    entry: ids.EntryId
    incarnation: str
    revision: ids.Revision
    in_flight: dict[str, int]
    heard_ages_s: dict[str, float]
    up_s: float
    sponsored: tuple[rosters.Member, ...] = ()


class SettleReply(msgspec.Struct, frozen=True):
    """Whether the owner of a key took note of how its request ended."""

    taken: bool


class HandOverReply(msgspec.Struct, frozen=True):
    """Whether a bucket's records are kept until the table shows them."""

    taken: bool
