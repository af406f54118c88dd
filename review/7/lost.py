"""Case 7: the answer to one order of upkeep is lost.

ANSWER=503, 429 or silent plays another answer to that one order instead.
"""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig  # noqa: E402

WAVE = {
    'wave': 1,
    'machines': ['m-0', 'm-1'],
    'duration_s': 20,
    'max_count': 1,
}
HAND_IN_AFTER_S = 18.0
FINISH_S = 14.0
WATCH_S = 3.0
JOB = '5c0e7a21d94b36f8'
WORK = {
    'spec': 'sheet',
    'phases': [
        {
            'count': 1,
            'cpu': 2000,
            'mem_mb': 1024,
            'estimate_ms': 800,
            'required_label': 'b',
        }
    ],
}


async def case(world: rig.World, trouble: bool) -> bool:
    """Return whether the rule held."""
    for number in range(6):
        kind = 'b' if number < 2 else 'a'
        world.add(f'm-{number}', 'drafts', [kind, f'r1-{number // 4}'])
    if trouble:
        lose_first_answer(world)
    await world.start(['drafts'])
    server = world.servers[0]
    world.store.put('op/wave/1', WAVE)
    world.note(f'the operator writes op/wave/1: {WAVE}')
    await asyncio.sleep(HAND_IN_AFTER_S)
    world.note(f'status/wave/1: {world.store.value("status/wave/1")}')
    status, _ = await world.hand_in(server, 'drafts', JOB, WORK)
    if status != 200:
        raise rig.Unplayable(f'the job was answered {status}')
    await asyncio.sleep(FINISH_S)
    if not await starves(world):
        state = await world.state(server, 'drafts', JOB)
        return state == 'completed'
    state = await world.state(server, 'drafts', JOB)
    world.note(f'{FINISH_S + WATCH_S} s after it was handed in: {state!r}')
    world.note(f'status/wave/1: {world.store.value("status/wave/1")}')
    return state == 'completed'


async def starves(world: rig.World) -> bool:
    """Return whether for 3 s nothing runs and two executors could run it."""
    for _ in range(int(WATCH_S / 0.1)):
        fitting = [
            row
            for row in world.machines.values()
            if row.up and 'b' in row.labels and not row.running
        ]
        if len(fitting) < 2 or world.starts:
            return False
        await asyncio.sleep(0.1)
    world.note('for 3 s two executors with the label are up and idle')
    return True


def lose_first_answer(world: rig.World) -> None:
    """Let the platform carry out the first upkeep and lose its answer.

    With 503 or 429 it has done nothing.
    """
    how = os.environ.get('ANSWER', 'reset')
    lost = []

    async def before(target: str, asked: dict) -> rig.Answer:
        if target != '/machine-upkeep' or lost:
            return None
        lost.append(asked)
        world.note(f'this order is answered by: {how}')
        if how in ('503', '429'):
            return int(how), None
        await world.cloud.carry_out(target, asked)
        return rig.HANG if how == 'silent' else rig.RESET

    world.cloud.before = before


if __name__ == '__main__':
    rig.main(FOLDER, case)
