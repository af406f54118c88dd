"""Access to the calls between the system's own processes.

``Peers`` is a record of functions; :mod:`oleanderwood.peer_grpc` brings it
in the daemons, and serves the same calls.
"""

import collections.abc
import dataclasses
import typing

from oleanderwood import idempotency
from oleanderwood import ids
from oleanderwood import messages

Call = collections.abc.Callable[
    [ids.Address, typing.Any], collections.abc.Awaitable[typing.Any]
]

Handler = collections.abc.Callable[
    [typing.Any], collections.abc.Awaitable[typing.Any]
]
"""Answers one method's requests; serving takes one per method name."""


@dataclasses.dataclass(frozen=True)
class Method:
    """A call's name, its request and reply types and its time limit."""

    name: str
    request: type
    reply: type
    timeout_s: float = 1.0


METHODS = (
    Method('gossip', messages.GossipRequest, messages.GossipReply),
    Method('fetch', messages.FetchRequest, messages.FetchReply, 3.0),
    Method('sponsor', messages.SponsorRequest, messages.SponsorReply),
    Method('prepare', messages.PrepareRequest, messages.PrepareReply, 3.0),
    Method('commit', messages.CommitRequest, messages.CommitReply),
    Method('release', messages.ReleaseRequest, messages.ReleaseReply),
    Method('claim', idempotency.Claim, idempotency.ClaimReply),
    Method('settle', idempotency.Settlement, messages.SettleReply),
    Method('hand_over', idempotency.HandOver, messages.HandOverReply, 2.0),
)


@dataclasses.dataclass(frozen=True)
class Peers:
    """The calls to a peer, one coroutine function per method.

    Each takes ``(address, request)``, gives the method's reply and raises
    :class:`oleanderwood.errors.CallFailed`.
    """

    gossip: Call
    fetch: Call
    sponsor: Call
    prepare: Call
    commit: Call
    release: Call
    claim: Call
    settle: Call
    hand_over: Call
