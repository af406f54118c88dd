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

SERVER_PREFIX = 'ow/roles/server/'


class Leader(msgspec.Struct, frozen=True):
    """Who leads under a term, or led last.

    :ivar holder: name of the server; '' once it has handed over
    :ivar process: one life of that server
    """

    term: int
    holder: str
    process: str
    address: ids.Address


class Server(msgspec.Struct, frozen=True):
    """A server that can be asked and can lead.

    :ivar cores: processor time that it gets
    """

    name: str
    process: str
    address: ids.Address
    cores: float = 1.0
    data_centre: ids.DataCentre = ids.DataCentre('')


@dataclasses.dataclass
class Roles:
    """What a server knows of all this.

    :ivar leader_revision: of the leader's key; it is the condition under
        which a leader writes
    :ivar alive_revision: 0 if nobody holds the lease
    """

    leader: Leader | None = None
    leader_revision: int = 0
    alive_revision: int = 0
    alive_process: str = ''
    servers: dict[str, Server] = dataclasses.field(default_factory=dict)
    known: bool = False


def take(roles: Roles, key: str, value: bytes, revision: int) -> None:
    """Take over a value; an older one than the known is ignored."""
    if key == LEADER_KEY:
        if revision > roles.leader_revision:
            roles.leader = msgspec.json.decode(value, type=Leader)
            roles.leader_revision = revision
    elif key == ALIVE_KEY:
        if revision > roles.alive_revision:
            roles.alive_revision = revision
            roles.alive_process = value.decode('ascii')
    elif key.startswith(SERVER_PREFIX):
        server = msgspec.json.decode(value, type=Server)
        roles.servers[key] = server


def learn(roles: Roles, items: collections.abc.Iterable[stores.Item]) -> None:
    """Take over what a refused write has shown of its conditions."""
    for item in items:
        if not item.removed:
            take(roles, item.key, item.value, item.revision)


def drop(roles: Roles, key: str, revision: int) -> None:
    """Note that a key was removed at a revision of the store."""
    if key == ALIVE_KEY and revision > roles.alive_revision:
        roles.alive_revision = 0
        roles.alive_process = ''
    elif key.startswith(SERVER_PREFIX):
        roles.servers.pop(key, None)


def clear(roles: Roles) -> None:
    """Forget what a whole reading of the store is about to tell anew."""
    roles.alive_revision = 0
    roles.alive_process = ''
    roles.servers.clear()


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
