"""Case 6: an order for a machine is held up as its sender is cut off."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig  # noqa: E402

WAVE = {
    'wave': 1,
    'machines': ['m-1', 'm-0', 'm-2'],
    'duration_s': 26,
    'max_count': 1,
}
CUT_S = 5.5
"""As in the site file: node_cut, for_s 5.5."""

WORK = {
    'spec': 'sheet',
    'phases': [
        {
            'count': 1,
            'cpu': 2000,
            'mem_mb': 1024,
            'estimate_ms': 2100,
            'required_label': 'b',
        }
    ],
}


async def case(world: rig.World, trouble: bool) -> bool:
    """Return whether the rule held."""
    for number in range(6):
        kind = 'b' if number == 1 else 'a'
        world.add(f'm-{number}', 'drafts', [kind, f'r1-{number // 4}'])
    if trouble:
        for server in world.servers:
            server.cloud_link.sent = cut_at_order(world, server)
    await world.start(['drafts'])
    status, _ = await world.hand_in(
        world.servers[0], 'drafts', '5c0e7a21d94b36f8', WORK
    )
    if status != 200:
        raise rig.Unplayable(f'the job was answered {status}')
    await asyncio.sleep(0.3)
    world.store.put('op/wave/1', WAVE)
    world.note(f'the operator writes op/wave/1: {WAVE}')
    await asyncio.sleep(20.0)
    world.note(f'status/wave/1: {world.store.value("status/wave/1")}')
    if not world.cloud.begun:
        raise rig.Unplayable('no upkeep began')
    return are_few_down(world)


def cut_at_order(world: rig.World, server: rig.Server):
    """Cut a server off from the platform as it sends the first order."""

    def sent(data: bytes) -> None:
        if not data.startswith(b'POST /machine-upkeep'):
            return
        for other in world.servers:
            other.cloud_link.sent = None
        world.note(f'{server.name} has sent: {data!r}')
        world.note(f'{server.name} is cut off from the platform')
        server.store_link.whole.clear()
        server.cloud_link.whole.clear()
        world.spawn(heal(world, server))

    return sent


async def heal(world: rig.World, server: rig.Server) -> None:
    """End the cut."""
    await asyncio.sleep(CUT_S)
    world.note(f'{server.name} reaches the platform again')
    server.store_link.whole.set()
    server.cloud_link.whole.set()


def are_few_down(world: rig.World) -> bool:
    """Return whether each upkeep began with less than max_count others."""
    held = True
    for machine, down in world.cloud.begun:
        if len(down) >= WAVE['max_count']:
            world.note(f'the upkeep of {machine} began with {down} down')
            held = False
    return held


if __name__ == '__main__':
    rig.main(FOLDER, case, server_count=6)
