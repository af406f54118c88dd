"""A burst in one queue keeps the advice from another queue's job."""

import curio

from emulator import advice
from emulator import day
from emulator import features
from oleanderwood import clock
from review import rig_3
from soak import processes
from soak import sockets

BUSY = 'drafts'
CALM = 'finals'

PLAN = day.Plan(
    1,
    server_count=3,
    lasting=False,
    machines_a_pool=8,
    features=(features.Feature.ADVICE,),
)

USUAL_JOBS = 11
BURST_JOBS = 28
BURST_S = 4.0
"""``burst`` in the site file: 2.6 times the traffic of a class for 4 s."""

ADVICE = 'advice'
VALID_S = 3.0
"""As in the example that ``fleetbench wire`` prints."""

FINISH_S = 14.0
"""Bound of the rule, from the end of the traffic."""

IDLE_S = 3.0
"""Bound of the rule: for so long a job has nothing running."""


async def _play(case: rig_3.Case) -> list[str]:
    await _add_advice(case)
    jobs = BURST_JOBS if case.trouble else USUAL_JOBS
    step = {'count': 4, 'cpu': 4000, 'mem_mb': 100, 'estimate_ms': 9000}
    for number in range(jobs):
        job = f'{number + 1:016x}'
        await _submit(case, number, BUSY, job, step)
        await curio.sleep(BURST_S / jobs)
    calm = 'c' * 16
    step = {'count': 1, 'cpu': 1000, 'mem_mb': 100, 'estimate_ms': 500}
    await _submit(case, 0, CALM, calm, step)
    rig_3.note(case, 'the traffic ends')
    await curio.sleep(FINISH_S)
    free: list[tuple[int, int]] = []
    end_s = clock.now_s() + IDLE_S
    while clock.now_s() < end_s:
        free.append(rig_3.free_cores(case, CALM))
        await curio.sleep(0.1)
    return rig_3.lost_jobs(case, {calm: 1}, CALM, free)


async def _add_advice(case: rig_3.Case) -> None:
    """Start the stand-in of the advice, and the servers anew with it."""
    field = case.world.field
    network = field.scene.network
    advice.VALID_S = VALID_S
    case.world.fleet.world.advising = advice.Service()
    network.handlers[ADVICE] = advice.make_handler(
        case.world.fleet.world.advising
    )
    _host, _, port = field.servers[0].callers.partition(':')
    for number, process in enumerate(field.servers, 1):
        address = f'127.16.0.{number}:{port}'
        await sockets.spawn(network, address, ADVICE, process.name)
        processes.write_settings(process, advice_address=address)
        process.busy = True
        await processes.kill(process)
        processes.start(process)
        process.busy = False
    await curio.sleep(rig_3.LEAD_S)


async def _submit(
    case: rig_3.Case, number: int, pool: str, job: str, step: dict
) -> None:
    for attempt in range(4):
        status = await rig_3.hand_in(
            case, (number + attempt) % 3, pool, job, [step]
        )
        if status == 200:
            return
    raise rig_3.CannotRunError(f'job {job} was not accepted')


if __name__ == '__main__':
    rig_3.main(PLAN, _play, __file__)
