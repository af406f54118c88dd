"""Who leads and which servers there are, as it lies in the store."""

import collections.abc
import dataclasses

import msgspec

from oleanderwood import ids
from oleanderwood.platform import store as stores

PREFIX = 'ow/roles/'
LEADER_KEY = 'ow/roles/leader'
"""Outlives its holder: the term must never be given twice."""

ALIVE_KEY = 'ow/roles/alive'
"""Lies under the leader's lease; without it another may lead."""

ENDED_KEY = 'ow/roles/ended'
"""Holds a term: its leader and all earlier ones have surely ended."""

SERVER_PREFIX = 'ow/roles/server/'

REMEMBERED_S = 10.0
"""Time for which a server counts whose row went: it may reach the store again,
and lead, while we don't."""


class Leader(msgspec.Struct, frozen=True):
    """Who leads under a term, or led last.

    :ivar holder: name of the server; '' once it has handed over
    :ivar process: one life of that server
    :ivar follows: the term before, 0 before the first; None from servers of an
        earlier release, whose terms rise by one
    """

    term: int
    holder: str
    process: str
    address: ids.Address
    follows: int | None = None


class Server(msgspec.Struct, frozen=True):
    """A server that can be asked and can lead.

    :ivar cores: processor time that it gets
    """

    name: str
    process: str
    address: ids.Address
    cores: float = 1.0
    data_centre: ids.DataCentre = ids.DataCentre('')


@dataclasses.dataclass(frozen=True)
class Gone:
    """A server whose row went, and when."""

    server: Server
    at_s: float


@dataclasses.dataclass
class Roles:
    """What a server knows of all this.

    :ivar leader_revision: of the leader's key; it is the condition under
        which a leader writes
    :ivar leaders: of terms that aren't known to have ended, as far as seen
    :ivar ended_term: leaders up to this term have surely ended
    :ivar alive_revision: 0 if nobody holds the lease
    :ivar alive_lease: the lease under which the mark lies
    :ivar gone: servers whose rows went, by key
    """

    leader: Leader | None = None
    leader_revision: int = 0
    leaders: dict[int, Leader] = dataclasses.field(default_factory=dict)
    ended_term: int = 0
    alive_revision: int = 0
    alive_process: str = ''
    alive_lease: int = 0
    servers: dict[str, Server] = dataclasses.field(default_factory=dict)
    gone: dict[str, Gone] = dataclasses.field(default_factory=dict)
    known: bool = False


def take(
    roles: Roles, key: str, value: bytes, revision: int, lease: int = 0
) -> None:
    """Take over a value; an older one than the known is ignored."""
    if key == LEADER_KEY:
        if revision > roles.leader_revision:
            note_leader(
                roles, msgspec.json.decode(value, type=Leader), revision
            )
    elif key == ENDED_KEY:
        note_ended(roles, msgspec.json.decode(value, type=int))
    elif key == ALIVE_KEY:
        if revision > roles.alive_revision:
            mark(roles, value.decode('ascii'), revision, lease)
    elif key.startswith(SERVER_PREFIX):
        server = msgspec.json.decode(value, type=Server)
        roles.servers[key] = server
        roles.gone.pop(key, None)


def note_leader(roles: Roles, leader: Leader, revision: int) -> None:
    """Note who leads by a revision of the leader's key."""
    roles.leader = leader
    roles.leader_revision = revision
    roles.leaders[leader.term] = leader


def unsettled_terms(roles: Roles, term: int) -> list[int]:
    """Give the terms before one that aren't known to have ended.

    The latest comes first. One whose leader isn't known is the last: what it
    follows isn't known either.
    """
    terms: list[int] = []
    while True:
        row = roles.leaders.get(term)
        if row is None and terms:
            return terms
        term = _term_before(row, term)
        if term <= roles.ended_term:
            return terms
        terms.append(term)


def _term_before(row: Leader | None, term: int) -> int:
    if row is None or row.follows is None:
        return term - 1
    return row.follows


def note_ended(roles: Roles, term: int) -> None:
    """Note that all leaders up to a term have surely ended."""
    roles.ended_term = max(roles.ended_term, term)
    for earlier in list(roles.leaders):
        if earlier <= roles.ended_term:
            del roles.leaders[earlier]


def learn(roles: Roles, items: collections.abc.Iterable[stores.Item]) -> None:
    """Take over what a refused write has shown of its conditions."""
    for item in items:
        if not item.removed:
            take(roles, item.key, item.value, item.revision, item.lease)


def mark(roles: Roles, process: str, revision: int, lease: int) -> None:
    """Note who leads by the mark, and under which lease it lies."""
    roles.alive_process = process
    roles.alive_revision = revision
    roles.alive_lease = lease


def drop(roles: Roles, key: str, revision: int, now_s: float) -> None:
    """Note that a key was removed at a revision of the store."""
    if key == ALIVE_KEY and revision > roles.alive_revision:
        mark(roles, '', 0, 0)
    elif key.startswith(SERVER_PREFIX):
        _note_gone(roles, key, now_s)


def _note_gone(roles: Roles, key: str, now_s: float) -> None:
    server = roles.servers.pop(key, None)
    if server is None:
        return
    for other, row in list(roles.gone.items()):
        if now_s - row.at_s > REMEMBERED_S:
            del roles.gone[other]
    roles.gone[key] = Gone(server, now_s)


def clear(roles: Roles, now_s: float) -> None:
    """Forget what a whole reading of the store is about to tell anew."""
    mark(roles, '', 0, 0)
    for key in list(roles.servers):
        _note_gone(roles, key, now_s)


def place_in_line(roles: Roles, name: str) -> int:
    """Give a server's place among those that may lead next.

    The one that led last comes last: it may have lost its lease for cause.
    Larger servers come before smaller ones.
    """
    last = roles.leader.holder if roles.leader else ''
    cores = {server.name: server.cores for server in roles.servers.values()}
    cores.setdefault(name, 0.0)
    line = sorted(
        cores, key=lambda other: (other == last, -cores[other], other)
    )
    return line.index(name)


def peers(roles: Roles, process: str) -> list[Server]:
    """Give the other servers."""
    return [
        server
        for server in roles.servers.values()
        if server.process != process
    ]


def peers_lately(roles: Roles, process: str, now_s: float) -> list[Server]:
    """Give the other servers, those too whose rows went a short while ago."""
    lately = [
        row.server
        for row in roles.gone.values()
        if now_s - row.at_s <= REMEMBERED_S and row.server.process != process
    ]
    return peers(roles, process) + lately
