"""A dozen repeated jobs take every leader over its memory limit."""

import os
import pathlib
import signal

import curio

from emulator import day
from oleanderwood import clock
from review import rig_3
from soak import processes

BUSY = 'drafts'
CALM = 'finals'

PLAN = day.Plan(1, server_count=3, lasting=False, machines_a_pool=8)

JOBS = 14
REPEATS = 17_280
INTERVAL_MS = 5000
"""One short task each 5 s, for 24 hours."""

BURST_S = 4.0
"""Time of ``burst`` in the site file."""

MEMORY_MB = 300
"""``memory_mb`` of the site's machines; a process above it is killed."""

CHECK_S = 0.2
RESTART_S = 0.3
TRAFFIC_S = 15.0

FINISH_S = 14.0
"""Bound of the rule, from the end of the traffic."""

IDLE_S = 3.0
"""Bound of the rule: for so long a job has nothing running."""


async def _play(case: rig_3.Case) -> list[str]:
    killed: list[str] = []
    for process in case.world.field.servers:
        await curio.spawn(_watch_memory, case, process, killed, daemon=True)
    await curio.spawn(_burst, case, daemon=True)
    small: dict[str, int] = {}
    step = {'count': 1, 'cpu': 1000, 'mem_mb': 10, 'estimate_ms': 400}
    end_s = clock.now_s() + TRAFFIC_S
    number = 0
    while clock.now_s() < end_s:
        number += 1
        job = f'{number:016x}'
        for attempt in range(4):
            server = (number + attempt) % 3
            status = await rig_3.hand_in(case, server, CALM, job, [step])
            if status == 200:
                small[job] = 1
            if status == 200 or clock.now_s() > end_s:
                break
        await curio.sleep(0.5)
    rig_3.note(case, 'the traffic ends')
    if not small:
        raise rig_3.CannotRunError('no job was accepted')
    await curio.sleep(FINISH_S)
    free: list[tuple[int, int]] = []
    end_s = clock.now_s() + IDLE_S
    while clock.now_s() < end_s:
        free.append(rig_3.free_cores(case, CALM))
        await curio.sleep(0.1)
    breaches = rig_3.lost_jobs(case, small, CALM, free)
    if len(killed) >= 3:
        breaches.append(f'Fault: processes over the limit: {len(killed)}')
    return breaches


async def _burst(case: rig_3.Case) -> None:
    for number in range(JOBS):
        await curio.spawn(_submit, case, number, daemon=True)
        await curio.sleep(BURST_S / JOBS)


async def _submit(case: rig_3.Case, number: int) -> None:
    step = {'count': 1, 'cpu': 500, 'mem_mb': 10, 'estimate_ms': 300}
    times = {
        'repeat_count': REPEATS if case.trouble else 1,
        'start_time_ms': round(clock.wall_ms()),
        'interval_ms': INTERVAL_MS,
    }
    job = f'b{number:015x}'
    for attempt in range(4):
        status = await rig_3.hand_in(
            case, (number + attempt) % 3, BUSY, job, [step], **times
        )
        if status == 200:
            return


async def _watch_memory(
    case: rig_3.Case, process: processes.Process, killed: list[str]
) -> None:
    """Kill a server above the limit, as the platform does."""
    page_bytes = os.sysconf('SC_PAGE_SIZE')
    peak_mb = 0
    while True:
        await curio.sleep(CHECK_S)
        popen = process.popen
        if popen is None or popen.poll() is not None:
            continue
        path = pathlib.Path(f'/proc/{popen.pid}/statm')
        try:
            pages = int(path.read_text().split()[1])
        except (OSError, IndexError):
            continue
        used_mb = pages * page_bytes // 2**20
        if used_mb >= peak_mb + 25:
            peak_mb = used_mb
            rig_3.note(case, f'{process.name} uses {used_mb} MB')
        if used_mb > MEMORY_MB:
            rig_3.note(case, f'{process.name} is killed at {used_mb} MB')
            killed.append(process.name)
            process.busy = True
            popen.send_signal(signal.SIGKILL)
            await processes.kill(process)
            await curio.sleep(RESTART_S)
            processes.start(process)
            process.busy = False
            peak_mb = 0


if __name__ == '__main__':
    rig_3.main(PLAN, _play, __file__)
