"""Case 7: a wave that can't take a machine keeps it closed to its tasks."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig  # noqa: E402

WAVE = {
    'wave': 1,
    'machines': ['m-0', 'm-1', 'm-2'],
    'duration_s': 20,
    'max_count': 1,
}
FAILS_AFTER_S = 24.0
RESTART_S = 6.0
WATCH_S = 3.0
CALM_S = 4.0
JOB = '5c0e7a21d94b36f8'
WORK = {
    'spec': 'sheet',
    'phases': [
        {
            'count': 2,
            'cpu': 2000,
            'mem_mb': 1024,
            'estimate_ms': 900,
            'required_label': 'b',
            'long_running': True,
            'may_miss': 1,
        }
    ],
}
TASK = f'{JOB}.0.0.0'


async def case(world: rig.World, trouble: bool) -> bool:
    """Return whether the rule held."""
    for number in range(7):
        kind = 'b' if number == 0 else 'a'
        world.add(f'm-{number}', 'drafts', [kind, f'r1-{number // 4}'])
    await world.start(['drafts'])
    server = world.servers[0]
    status, _ = await world.hand_in(server, 'drafts', JOB, WORK)
    if status != 200:
        raise rig.Unplayable(f'the job was answered {status}')
    await asyncio.sleep(2.0)
    machine = world.machines['m-0']
    if len(machine.running) != 2:
        raise rig.Unplayable('the tasks that last do not run')
    if trouble:
        world.store.put('op/wave/1', WAVE)
        world.note(f'the operator writes op/wave/1: {WAVE}')
    await asyncio.sleep(FAILS_AFTER_S)
    world.note(f'status/wave/1: {world.store.value("status/wave/1")}')
    if TASK not in machine.running:
        raise rig.Unplayable('the task does not run on its machine')
    machine.fail(TASK)
    await asyncio.sleep(RESTART_S + CALM_S)
    held = await runs_again(world, machine)
    await world.state(server, 'drafts', JOB)
    return held


async def runs_again(world: rig.World, machine: rig.Machine) -> bool:
    """Return whether the task runs within 3 s, or has no room."""
    for _ in range(int(WATCH_S / 0.1)):
        if TASK in machine.running or not machine.up:
            return True
        await asyncio.sleep(0.1)
    used = sum(run.phase['cpu'] for run in machine.running.values())
    free = machine.capacity['cpu'] - used
    world.note(
        f'{RESTART_S + CALM_S + WATCH_S} s after its last run the task does '
        f'not run; its executor is up and has {free} of cpu free'
    )
    return free < 2 * WORK['phases'][0]['cpu']


if __name__ == '__main__':
    rig.main(FOLDER, case)
