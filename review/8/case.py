"""Case 8: an executor is lost as jobs arrive, and the others are full."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig  # noqa: E402

EXECUTORS = 8
VISIBLE_S = 3.0
LONG = {
    'spec': 'sheet',
    'phases': [
        {
            'count': EXECUTORS - 1,
            'cpu': 16_000,
            'mem_mb': 1024,
            'estimate_ms': 60_000,
        }
    ],
}
SHORT = {
    'spec': 'sheet',
    'phases': [{'count': 1, 'cpu': 2000, 'mem_mb': 1024, 'estimate_ms': 800}],
}
JOBS = [f'5c0e7a21d94b36{number:02x}' for number in range(4)]


async def case(world: rig.World, trouble: bool) -> bool:
    """Return whether the rule held."""
    for number in range(EXECUTORS):
        world.add(f'm-{number}', 'drafts', ['a', f'r1-{number // 4}'])
    await world.start(['drafts'])
    server = world.servers[0]
    status, _ = await world.hand_in(server, 'drafts', 'a' * 16, LONG)
    if status != 200:
        raise rig.Unplayable(f'the long job was answered {status}')
    await asyncio.sleep(4.0)
    idle = [row for row in world.machines.values() if not row.running]
    if len(idle) != 1:
        raise rig.Unplayable(f'{len(idle)} executors are idle')
    if trouble:
        crash_at_start(idle[0])
    accepted = 0
    for answer in await asyncio.gather(
        *(world.hand_in(server, 'drafts', job, SHORT) for job in JOBS)
    ):
        accepted += answer[0] == 200
    if accepted != len(JOBS):
        raise rig.Unplayable(f'{accepted} jobs were accepted')
    await asyncio.sleep(VISIBLE_S + 2.0 + 0.5)
    held = True
    for _ in range(8):
        held &= await counts_pending(world)
        await asyncio.sleep(1.0)
    return held


def crash_at_start(machine: rig.Machine) -> None:
    """Let an executor crash as the next order to start a task arrives."""

    async def orders(target: str, asked: dict) -> rig.Answer:
        if target != '/run-start':
            return None
        if not machine.dark:
            machine.fall_silent('it crashes and is lost for good')
        return rig.HANG

    machine.orders = orders


async def counts_pending(world: rig.World) -> bool:
    """Return whether the servers give half of the waiting jobs at least."""
    held = True
    for server in world.servers:
        before = waiting(world)
        status, value = await world.call(server, 'GET', '/drafts/')
        after = waiting(world)
        if status != 200:
            continue
        least = min(before, after)
        world.note(f'{least} jobs wait, pending is {value["pending"]}')
        held &= 2 * value['pending'] >= least
    return held


def waiting(world: rig.World) -> int:
    """Return how many of the accepted jobs have not begun."""
    begun = {task.partition('.')[0] for _, task, _, _ in world.starts}
    return len(set(JOBS) - begun)


if __name__ == '__main__':
    rig.main(FOLDER, case)
