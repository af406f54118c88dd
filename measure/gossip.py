"""Access to the cost of gossip: bytes on the wire and processor time.

Some entries gossip over gRPC in one process. A first run counts bytes
through relays; a second one, without relays, takes the processor time.
"""

import dataclasses
import random
import time

import curio
import cyclopts

from oleanderwood import fleet
from oleanderwood import gossip
from oleanderwood import grants
from oleanderwood import ids
from oleanderwood import messages
from oleanderwood import node as nodes
from oleanderwood import peer_answers
from oleanderwood import peer_grpc
from oleanderwood import roster
from oleanderwood import view

DATA_CENTRES = 5
GOSSIP_PER_S = 2.0
SEGMENT_BYTES = 52
"""IP and TCP headers of a segment, with time stamps."""

REGION = ids.Region('r1')


@dataclasses.dataclass
class Wire:
    """What went through the relays; a read counts as one segment."""

    payload_bytes: int = 0
    segments: int = 0


@dataclasses.dataclass
class Entry:
    """One entry: its server, its client and its node."""

    server: peer_grpc.Server
    client: peer_grpc.Client
    node: nodes.Node


async def _pump(wire: Wire, source: curio.io.Socket, sink: curio.io.Socket):
    while data := await source.recv(65536):
        wire.payload_bytes += len(data)
        wire.segments += 1
        await sink.sendall(data)


async def _relay(wire: Wire, address: ids.Address, client, _) -> None:
    host, _, port = address.rpartition(':')
    onward = await curio.open_connection(host, int(port))
    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(_pump, wire, client, onward)
        await group.spawn(_pump, wire, onward, client)


async def _relayed(wire: Wire, address: ids.Address, group) -> ids.Address:
    sock = curio.tcp_server_socket('127.0.0.1', 0)

    async def accept(client, peer):
        await _relay(wire, address, client, peer)

    await group.spawn(curio.network.run_server, sock, accept)
    return ids.Address(f'127.0.0.1:{sock.getsockname()[1]}')


def _shards(upstreams: int) -> list[fleet.Shard]:
    rows = [
        fleet.VmRow(
            ids.VmId(f'vm-{number:04}'),
            ids.PoolId(f'pool-{number % 5}'),
            fleet.VmState.SERVING,
            ids.Epoch(3),
            ids.Rack(f'rack-{number % 10}'),
            ids.Address(f'10.0.0.{number % 250}:80'),
        )
        for number in range(upstreams)
    ]
    return [
        fleet.Shard(
            ids.DataCentre(f'dc-{number}'),
            ids.Revision(1000 + number),
            3,
            tuple(rows[number::DATA_CENTRES]),
        )
        for number in range(DATA_CENTRES)
    ]


def _entry(number: int, upstreams: int) -> Entry:
    server = peer_grpc.listen(ids.Address('127.0.0.1:0'))
    client = peer_grpc.connect()
    rng = random.Random(number)

    def loads() -> tuple[messages.Load, ...]:
        return tuple(
            messages.Load(ids.VmId(f'vm-{vm:04}'), rng.randrange(8))
            for vm in range(upstreams)
        )

    member = roster.Member(
        ids.EntryId(f'entry-{number}'),
        f'{rng.getrandbits(48):012x}',
        REGION,
        ids.DataCentre(f'dc-{number % DATA_CENTRES}'),
        ids.VmId(f'entry-vm-{number}'),
        server.address,
    )
    made = view.make(member)
    for shard in _shards(upstreams):
        grants.apply_shard(made.grants, shard)
    settings = nodes.Settings(give_loads=loads, rng=rng)
    node = nodes.make(settings, None, peer_grpc.calls(client), made)
    view.contact(made, nodes.now_s(node), nodes.now_s(node))
    view.grant(made)
    return Entry(server, client, node)


async def _gossip(node: nodes.Node, calls: list[int]) -> None:
    while True:
        await curio.sleep(random.uniform(0.9, 1.1) / GOSSIP_PER_S)
        await gossip.tell_next(node)
        calls[0] += 1


async def _measure(
    entries: int, upstreams: int, seconds: float, relays: bool
) -> tuple[Wire, float, int]:
    """Give bytes, processor seconds and calls after a second of start."""
    wire = Wire()
    calls = [0]
    made = [_entry(number, upstreams) for number in range(entries)]
    async with curio.TaskGroup() as group:
        members = []
        for entry in made:
            member = entry.node.view.member
            if relays:
                address = await _relayed(wire, member.peer, group)
                member = _at(member, address)
            members.append(member)
        known = roster.Roster(ids.Revision(1), tuple(members))
        for entry in made:
            entry.node.view.roster = known
            handlers = peer_answers.handlers(entry.node)
            await group.spawn(peer_grpc.run, entry.server, handlers)
            await group.spawn(_gossip, entry.node, calls)
        await curio.sleep(5.0)
        wire.payload_bytes = wire.segments = calls[0] = 0
        began_s = time.process_time()
        await curio.sleep(seconds)
        spent_s = time.process_time() - began_s
        counted = (dataclasses.replace(wire), spent_s, calls[0])
        await group.cancel_remaining()
    for entry in made:
        peer_grpc.close(entry.client)
        await peer_grpc.stop(entry.server)
    return counted


def _at(member: roster.Member, address: ids.Address) -> roster.Member:
    return roster.Member(
        member.entry,
        member.incarnation,
        member.region,
        member.data_centre,
        member.vm,
        address,
    )


def main(
    *, entries: int = 8, upstreams: int = 40, seconds: float = 20.0
) -> None:
    """Print what gossip costs each entry."""
    wire, _, _ = curio.run(_measure, entries, upstreams, seconds, True)
    _, spent_s, calls = curio.run(_measure, entries, upstreams, seconds, False)
    # Each byte is sent by one entry and received by another.
    share = 2.0 / entries / seconds
    payload = wire.payload_bytes * share
    whole = payload + wire.segments * SEGMENT_BYTES * share
    core = spent_s / entries / seconds
    print(
        f'entries={entries} upstreams={upstreams} seconds={seconds:g} '
        f'calls={calls} payload_bytes_per_s={payload:.0f} '
        f'wire_bytes_per_s={whole:.0f} core_percent={100 * core:.2f}'
    )


if __name__ == '__main__':
    cyclopts.run(main)
