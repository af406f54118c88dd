"""A job that lasts is given up, as workers crash under one of its tasks."""

import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path[:0] = [str(HERE.parent), str(HERE.parent.parent)]

import curio  # noqa: E402

from emulator import evidence as evidences  # noqa: E402
from emulator import fleet as fleets  # noqa: E402
import lab  # noqa: E402
from oleanderwood import clock  # noqa: E402

MACHINES = 8
"""One of them is a share of 0.125; the site's largest of the kind is 0.14."""

DOWN_S = 0.5
"""Time for which a worker is down; the site's longest of the kind is 6.1 s."""

AGES_S = (3.0, 0.5, 0.9, 0.65, 0.8, 0.55, 0.75)
"""Ages of the task's runs at which their workers crash."""

TASKS = 5
MAY_MISS = 1
JOB = '7e57ab1e00000001'
PATH = f'/units/{JOB}'
CONFIGURATION = {
    'version': 3,
    'routes': [
        {
            'name': 'transport-plan',
            'host': lab.HOST,
            'prefix': '/units/',
            'service': 'units',
            'target_duration_ms': 2500,
            'priority': 0,
            'max_attempts': 4,
            'stretch': 1.6,
        }
    ],
    'services': [{'name': 'units', 'admission_check': True}],
}
PHASES = [
    {
        'count': TASKS,
        'cpu': 12000,
        'mem_mb': 1024,
        'estimate_ms': 900,
        'long_running': True,
        'may_miss': MAY_MISS,
    }
]


async def case(record, folder, trouble) -> bool:
    """Play the case; gives whether the rule was broken."""
    found = await lab.build(
        record, folder, ['s1', 's2', 's3'], {'units': MACHINES}, CONFIGURATION
    )
    body = lab.job_body(found, JOB, PHASES)
    status, _ = await lab.ask(found, found.servers[0], 'POST', PATH, body)
    if status != 200:
        raise lab.Unplayable('the job was not accepted')
    await curio.sleep(4.0)
    task = f'{JOB}.0.0.0'
    for age_s in AGES_S if trouble else ():
        if not await _crash_under(found, task, age_s):
            break
    await curio.sleep(12.0)
    await lab.ask(found, found.servers[1], 'GET', PATH)
    running = _running(found)
    record.note(f'{len(running)} of {TASKS} tasks run at the end')
    return _judge(found)


def _running(found) -> dict:
    """Give the runs of the job that go on, and their machines."""
    return {
        name: (machine, run)
        for machine in found.fleet.machines.values()
        if machine.executor is not None
        for name, run in machine.executor.running.items()
    }


async def _crash_under(found, task: str, age_s: float) -> bool:
    """Crash the worker that runs a task, at an age of its run."""
    until_s = clock.now_s() + 8.0
    while clock.now_s() < until_s:
        held = _running(found).get(task)
        if held is not None:
            machine, run = held
            await curio.sleep(max(0.0, run.came_s + age_s - clock.now_s()))
            if machine.executor is None or task not in _running(found):
                continue
            found.record.note(
                f'the worker of {machine.name} crashes, which has run {task} '
                f'for {clock.now_s() - run.came_s:.2f} s'
            )
            await curio.spawn(
                fleets.crash, found.fleet, machine, DOWN_S, True, daemon=True
            )
            await curio.sleep(0.05)
            return True
        await curio.sleep(0.01)
    found.record.note(f'{task} is not started any more')
    return False


def _judge(found) -> bool:
    """Look for stops of tasks at work while too many others are away."""
    sights = [
        row
        for row in found.world.evidence.sights
        if row.kind is evidences.Kind.ENDED and row.how == 'stopped'
    ]
    at_work_s = 0.4
    came_s = {
        (row.task, row.attempt): row.at_s for row in lab.starts(found, JOB)
    }
    away = 0
    broken = False
    for row in sights:
        worked_s = row.at_s - came_s[row.task, row.attempt]
        if worked_s < at_work_s:
            continue
        if away >= MAY_MISS:
            broken = True
            found.record.note(
                f'{row.task} was stopped after {worked_s:.1f} s on a sound '
                f'worker, while {away} others had been stopped already; '
                f'may_miss is {MAY_MISS}'
            )
        away += 1
    return broken


if __name__ == '__main__':
    lab.run(case, HERE)
