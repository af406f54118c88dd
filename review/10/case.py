"""An executor goes down and up by turns, and an innocent job is failed."""

import json

import curio

from emulator import day
from emulator import evidence as evidences
from emulator import fleet as fleets
from oleanderwood import clock
from review import rig_3

POOL = 'finals'
LABEL = 'kind-b'
"""Kind of one executor of the pool, which the jobs require."""

PLAN = day.Plan(
    1,
    server_count=3,
    lasting=False,
    pools=(POOL,),
    machines_a_pool=8,
    machines_on_standby=0,
)

PERIOD_S = 1.4
FLAP_S = 6.5
"""Dose of ``srv_flap`` in the site files. One executor of eight is within its
share, 0.15."""

JOBS = 3
WORK_MS = 2500
FINISH_S = 30.0


async def _play(case: rig_3.Case) -> list[str]:
    machine = case.world.fleet.machines['m3']
    machine.kind = machine.executor.kind = LABEL
    await curio.sleep(2.0)
    accepted = []
    for number in range(JOBS):
        job = f'{number + 1:016x}'
        step = {
            'count': 1,
            'cpu': 2000,
            'mem_mb': 500,
            'estimate_ms': WORK_MS,
            'required_label': LABEL,
        }
        if await rig_3.hand_in(case, number, POOL, job, [step]) == 200:
            accepted.append(job)
        await curio.sleep(0.2)
    if not accepted:
        raise rig_3.CannotRunError('no job was accepted')
    if case.trouble:
        await _flap(case, machine)
    states: dict[str, str] = {}
    end_s = clock.now_s() + FINISH_S
    while clock.now_s() < end_s:
        await curio.sleep(1.0)
        for job in accepted:
            status, value = await rig_3.call(
                case, 0, 'GET', f'{day.prefix(POOL)}{job}'
            )
            if status == 200:
                states[job] = value['state']
        if len(states) == len(accepted) and set(states.values()) <= {
            'completed',
            'failed',
        }:
            break
    return _judge(case, states)


async def _flap(case: rig_3.Case, machine: fleets.Machine) -> None:
    """Let an executor go down and up with a period, for a while."""
    end_s = clock.now_s() + FLAP_S
    while clock.now_s() < end_s:
        rig_3.note(case, f'the executor of {machine.name} goes down')
        await fleets.crash(
            case.world.fleet, machine, PERIOD_S / 2, resets=True
        )
        rig_3.note(case, f'the executor of {machine.name} is up again')
        await curio.sleep(PERIOD_S / 2)


def _judge(case: rig_3.Case, states: dict[str, str]) -> list[str]:
    """Return the jobs shown as failed without as many failed ends."""
    ends: dict[str, int] = {}
    for row in rig_3.sights(case):
        if row.kind is evidences.Kind.ENDED and row.how == 'failed':
            ends[row.task] = ends.get(row.task, 0) + 1
    rig_3.note(case, f'states: {json.dumps(states)}')
    breaches = []
    for job, state in states.items():
        most = max(
            (count for task, count in ends.items() if task.startswith(job)),
            default=0,
        )
        if state == 'failed' and most < day.MAX_ATTEMPTS:
            breaches.append(
                f'LOST: job {job} is shown as failed, and no task of it has '
                f'ended as failed more than {most} times; max_attempts is '
                f'{day.MAX_ATTEMPTS}'
            )
    return breaches


if __name__ == '__main__':
    rig_3.main(PLAN, _play, __file__)
