"""The current leader and the known servers, as recorded in the store."""

import collections.abc
import dataclasses

import msgspec

from oleanderwood import codec
from oleanderwood import ids
from oleanderwood.platform import store as stores

PREFIX = 'ow/roles/'
LEADER_KEY = 'ow/roles/leader'
"""Key of the latest leader; it stays after that leader is gone, so that no
term is used twice."""

ALIVE_KEY = 'ow/roles/alive'
"""The leader's liveness key, attached to its lease; another server may lead
once it is gone."""

ENDED_KEY = 'ow/roles/ended'
"""Its value is a term whose leader and all earlier ones have certainly
ended."""

SERVER_PREFIX = 'ow/roles/server/'

REMOVED_ROW_RETENTION_S = 10.0
"""Time for which a server whose row was removed still counts among the other
servers, in seconds: it may reach the store again, and lead, while this server
cannot."""


class Leader(msgspec.Struct, frozen=True):
    """The leader of a term, current or last.

    :ivar holder: name of the server; empty once it has handed over
    :ivar process: id of the incarnation of that server
    :ivar follows: the previous term, 0 for the first; None from servers of an
        earlier release, whose terms increase by one
    """

    term: int
    holder: str
    process: str
    address: ids.Address
    follows: int | None = None


class Server(msgspec.Struct, frozen=True):
    """A server that can be called and elected.

    :ivar cores: CPU cores available to it
    :ivar memory_mb: memory available to it; 0 if unknown, as from servers of
        an earlier release
    """

    name: str
    process: str
    address: ids.Address
    cores: float = 1.0
    data_centre: ids.DataCentre = ids.DataCentre('')
    memory_mb: float = 0.0


@dataclasses.dataclass(frozen=True)
class RemovedServer:
    """A server whose row was removed, and when."""

    server: Server
    at_s: float


@dataclasses.dataclass
class Roles:
    """What a server knows of the leader and the other servers.

    :ivar leader_revision: revision of the leader key; the condition under
        which a leader writes
    :ivar leaders: known leaders of terms that are not known to have ended
    :ivar ended_term: all leaders up to this term have certainly ended
    :ivar alive_revision: revision of the liveness key; 0 if there is none
    :ivar alive_process: id of the process that wrote the liveness key; empty
        if there is none
    :ivar alive_lease: the lease that the liveness key is attached to; 0 if
        there is none
    :ivar servers: servers that have a row in the store, by key
    :ivar removed_servers: recently removed servers, by key
    :ivar is_loaded: whether the roles have been read from the store
    """

    leader: Leader | None = None
    leader_revision: int = 0
    leaders: dict[int, Leader] = dataclasses.field(default_factory=dict)
    ended_term: int = 0
    alive_revision: int = 0
    alive_process: str = ''
    alive_lease: int = 0
    servers: dict[str, Server] = dataclasses.field(default_factory=dict)
    removed_servers: dict[str, RemovedServer] = dataclasses.field(
        default_factory=dict
    )
    is_loaded: bool = False


def apply_value(
    roles: Roles, key: str, value: bytes, revision: int, lease: int = 0
) -> None:
    """Apply a value read from the store, unless a newer one is known."""
    if key == LEADER_KEY:
        if revision > roles.leader_revision:
            note_leader(roles, codec.decode(value, Leader), revision)
    elif key == ENDED_KEY:
        note_ended(roles, codec.decode(value, int))
    elif key == ALIVE_KEY:
        if revision > roles.alive_revision:
            note_alive(roles, value.decode('ascii'), revision, lease)
    elif key.startswith(SERVER_PREFIX):
        server = codec.decode(value, Server)
        roles.servers[key] = server
        roles.removed_servers.pop(key, None)


def note_leader(roles: Roles, leader: Leader, revision: int) -> None:
    """Record the leader at a revision of the leader key."""
    roles.leader = leader
    roles.leader_revision = revision
    roles.leaders[leader.term] = leader


def unended_terms(roles: Roles, term: int) -> list[int]:
    """Return the earlier terms that are not known to have ended.

    The latest comes first. The list ends at a term whose leader is unknown,
    since the term before it is unknown as well.
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
    """Record that all leaders up to a term have certainly ended."""
    roles.ended_term = max(roles.ended_term, term)
    for earlier in list(roles.leaders):
        if earlier <= roles.ended_term:
            del roles.leaders[earlier]


def apply_items(
    roles: Roles, items: collections.abc.Iterable[stores.Item]
) -> None:
    """Apply the items that a refused write returned, except removed ones."""
    for item in items:
        if not item.removed:
            apply_value(roles, item.key, item.value, item.revision, item.lease)


def note_alive(roles: Roles, process: str, revision: int, lease: int) -> None:
    """Record the holder of the liveness key, and the key's lease."""
    roles.alive_process = process
    roles.alive_revision = revision
    roles.alive_lease = lease


def apply_removal(roles: Roles, key: str, revision: int, now_s: float) -> None:
    """Apply the removal of a key at a revision of the store."""
    if key == ALIVE_KEY and revision > roles.alive_revision:
        note_alive(roles, '', 0, 0)
    elif key.startswith(SERVER_PREFIX):
        _note_removed(roles, key, now_s)


def _note_removed(roles: Roles, key: str, now_s: float) -> None:
    server = roles.servers.pop(key, None)
    if server is None:
        return
    for other, row in list(roles.removed_servers.items()):
        if now_s - row.at_s > REMOVED_ROW_RETENTION_S:
            del roles.removed_servers[other]
    roles.removed_servers[key] = RemovedServer(server, now_s)


def reset(roles: Roles, now_s: float) -> None:
    """Forget the liveness key and all servers before a complete read.

    The servers count as removed at this time.
    """
    note_alive(roles, '', 0, 0)
    for key in list(roles.servers):
        _note_removed(roles, key, now_s)


def candidate_rank(roles: Roles, name: str) -> int:
    """Return a server's rank among the candidates for the next term.

    Larger servers come first. The last leader comes last: it may have lost its
    lease because of a fault of its own.
    """
    last = roles.leader.holder if roles.leader else ''
    cores = {server.name: server.cores for server in roles.servers.values()}
    cores.setdefault(name, 0.0)
    ranking = sorted(
        cores, key=lambda other: (other == last, -cores[other], other)
    )
    return ranking.index(name)


def peers(roles: Roles, process: str) -> list[Server]:
    """Return the servers other than the given process."""
    return [
        server
        for server in roles.servers.values()
        if server.process != process
    ]


def recent_peers(roles: Roles, process: str, now_s: float) -> list[Server]:
    """Return the other servers, including recently removed ones."""
    recent = [
        row.server
        for row in roles.removed_servers.values()
        if now_s - row.at_s <= REMOVED_ROW_RETENTION_S
        and row.server.process != process
    ]
    return peers(roles, process) + recent
