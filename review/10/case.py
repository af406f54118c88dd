"""One accepted job of many steps stops the leader, and so every queue."""

import curio

from emulator import day
from oleanderwood import clock
from review import rig_3

STEPS = 2000
"""Steps of the large job; one task of one core each."""

LARGE_AFTER = 8
"""Small jobs that come before it."""

DUE_AFTER_MS = 8000
"""Time until the turn of jobs that are accepted just before the large one."""

TRAFFIC_S = 30.0
FINISH_S = 14.0
"""Bound of the rule, from the end of the traffic."""

IDLE_S = 3.0
"""Bound of the rule: for so long a job has nothing running."""

PLAN = day.Plan(1, server_count=3, lasting=False)


def _step(cpu: int = 1000) -> dict:
    return {'count': 1, 'cpu': cpu, 'mem_mb': 10, 'estimate_ms': 400}


async def _play(case: rig_3.Case) -> list[str]:
    small: dict[str, dict[str, int]] = {pool: {} for pool in day.POOLS}
    end_s = clock.now_s() + TRAFFIC_S
    number = 0
    while clock.now_s() < end_s:
        if number == LARGE_AFTER:
            await _hand_in_timed_jobs(case, small)
            if case.trouble:
                await curio.spawn(_large, case, daemon=True)
        pool = day.POOLS[number % 2]
        job = f'{number + 1:016x}'
        for attempt in range(4):
            status = await rig_3.hand_in(
                case, (number + attempt) % 3, pool, job, [_step()]
            )
            if status == 200:
                small[pool][job] = 1
            if status == 200 or clock.now_s() > end_s:
                break
        number += 1
        await curio.sleep(0.5)
    rig_3.note(case, 'the traffic ends')
    if sum(map(len, small.values())) < LARGE_AFTER:
        raise rig_3.CannotRunError('too few jobs were accepted')
    await curio.sleep(FINISH_S)
    free: dict[str, list[tuple[int, int]]] = {pool: [] for pool in day.POOLS}
    end_s = clock.now_s() + IDLE_S
    while clock.now_s() < end_s:
        for pool in day.POOLS:
            free[pool].append(rig_3.free_cores(case, pool))
        await curio.sleep(0.1)
    breaches = []
    for pool in day.POOLS:
        breaches += rig_3.lost_jobs(case, small[pool], pool, free[pool])
    return breaches


async def _hand_in_timed_jobs(
    case: rig_3.Case, small: dict[str, dict[str, int]]
) -> None:
    """Add two jobs a queue that are accepted now and due later."""
    due_ms = round(clock.wall_ms()) + DUE_AFTER_MS
    times = {'repeat_count': 1, 'start_time_ms': due_ms}
    for number in range(4):
        pool = day.POOLS[number % 2]
        job = f'e{number:015x}'
        status = await rig_3.hand_in(
            case, number % 3, pool, job, [_step()], **times
        )
        if status == 200:
            small[pool][job] = 1


async def _large(case: rig_3.Case) -> None:
    job = 'f' * 16
    for number in range(3):
        steps = [_step() for _ in range(STEPS)]
        if await rig_3.hand_in(case, number, 'drafts', job, steps) == 200:
            return


if __name__ == '__main__':
    rig_3.main(PLAN, _play, __file__)
