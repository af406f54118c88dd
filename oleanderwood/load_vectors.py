"""Access to the short form in which entries tell each other their loads."""

from oleanderwood import grants
from oleanderwood import messages

MOST_IN_FLIGHT = 255
"""Larger loads are told as this."""


def pack(
    loads: tuple[messages.Load, ...], held: grants.Grants
) -> tuple[messages.ShardLoads, ...]:
    """Put loads in the order of the shards' rows; idle shards are left out.

    :param loads: of VMs that aren't idle; those of no shard are left out
    """
    if not loads:
        return ()
    by_vm = {load.vm: load.in_flight for load in loads}
    vectors = []
    for data_centre, shard in held.shards.items():
        counts = bytes(
            min(by_vm.get(row.vm, 0), MOST_IN_FLIGHT) for row in shard.rows
        )
        if any(counts):
            vectors.append(
                messages.ShardLoads(
                    data_centre, shard.revision, counts.rstrip(b'\0')
                )
            )
    return tuple(vectors)


def unpack(
    vectors: tuple[messages.ShardLoads, ...], held: grants.Grants
) -> tuple[messages.Load, ...]:
    """Give the loads of shards that are followed at the same revision."""
    loads = []
    for vector in vectors:
        shard = held.shards.get(vector.data_centre)
        if shard is None or shard.revision != vector.revision:
            continue
        loads.extend(
            messages.Load(row.vm, count)
            for row, count in zip(shard.rows, vector.in_flight, strict=False)
            if count
        )
    return tuple(loads)
