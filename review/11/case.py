"""After two hopeless jobs, a gang is never started in an idle pool."""

import curio

from emulator import day
from emulator import evidence as evidences
from oleanderwood import clock
from review import rig_3

POOL = 'finals'
MACHINES = 8

PLAN = day.Plan(1, server_count=3, lasting=False, machines_a_pool=MACHINES)

GOOD_JOBS = 38
HOPELESS_JOBS = 2
"""A share of 0.05 of the messages of their class, within 3 s, as the site
file's ``poison`` has it."""

GANG = 10
GANG_CPU = 1000
FINISH_S = 14.0
"""Bound of the rule, from the end of the traffic."""

IDLE_S = 3.0
"""Bound of the rule: for so long a job has nothing running."""


def _step(count: int, cpu: int, estimate_ms: int, **more) -> dict:
    return {
        'count': count,
        'cpu': cpu,
        'mem_mb': 100,
        'estimate_ms': estimate_ms,
        **more,
    }


async def _play(case: rig_3.Case) -> list[str]:
    for number in range(GOOD_JOBS):
        job = f'{number + 1:016x}'
        await _submit(case, number, job, [_step(1, 2000, 400)])
        await curio.sleep(2.5 / GOOD_JOBS)
    for number in range(HOPELESS_JOBS):
        job = f'{number + 0x100:016x}'
        steps = [_step(24, 1000, 600, max_per_server=3)]
        await _submit(case, number, job, steps, poison=case.trouble)
    await curio.sleep(3.0)
    gang = 'a' * 16
    steps = [_step(GANG, GANG_CPU, 1000, gang=True)]
    await _submit(case, 2, gang, steps)
    rig_3.note(case, 'the traffic ends')
    await curio.sleep(FINISH_S)
    since_s = clock.now_s()
    free: list[tuple[int, int]] = []
    while clock.now_s() < since_s + IDLE_S:
        free.append(_free_cores(case))
        await curio.sleep(0.1)
    _status, value = await rig_3.call(
        case, 0, 'GET', f'{day.prefix(POOL)}{gang}'
    )
    return _judge(case, gang, value.get('state', ''), free)


async def _submit(
    case: rig_3.Case,
    number: int,
    job: str,
    steps: list[dict],
    poison: bool = False,
) -> None:
    """Hand a job in; executors alone know that it can never be done."""
    for attempt in range(4):
        status = await rig_3.hand_in(
            case, (number + attempt) % 3, POOL, job, steps
        )
        if poison:
            known = [{**step, 'poison': True} for step in steps]
            case.world.fleet.world.jobs[job]['phases'] = known
        if status == 200:
            return
    raise rig_3.CannotRunError(f'job {job} was not accepted')


def _free_cores(case: rig_3.Case) -> tuple[int, int]:
    """Return the free cores of the pool's executors, and all their cores."""
    executors = [
        machine.executor
        for machine in case.world.fleet.machines.values()
        if machine.pool == POOL and machine.executor is not None
    ]
    cores = sum(executor.cores for executor in executors)
    used = sum(
        run.spec['cpu'] // 1000
        for executor in executors
        for run in executor.running.values()
    )
    return cores - used, cores


def _judge(
    case: rig_3.Case, gang: str, state: str, free: list[tuple[int, int]]
) -> list[str]:
    """Return whether the gang has nothing running although there is room."""
    rig_3.note(case, f'gang: {state}; free cores, of: {sorted(set(free))}')
    done = any(
        row.kind is evidences.Kind.ENDED and row.how == 'done'
        for row in rig_3.sights(case)
        if row.job == gang
    )
    needed = GANG * GANG_CPU // 1000
    has_room = all(
        left >= 2 * needed and 2 * (cores - left) < cores
        for left, cores in free
    )
    if done or rig_3.starts(case, gang) or not has_room:
        return []
    return [
        f'LOST: job {gang} was accepted and is {state}; {FINISH_S} s after '
        f'the end of the traffic and for {IDLE_S} s more nothing of it has '
        f'run, with {min(free)[0]} cores free, of which it needs {needed}'
    ]


if __name__ == '__main__':
    rig_3.main(PLAN, _play, __file__)
