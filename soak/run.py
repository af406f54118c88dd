"""``python -m soak.run``: soaks by seeds; ends with ``soak: ok`` or FAILED."""

import dataclasses
import logging
import pathlib
import random
import sys
import tempfile

import curio
import cyclopts

from emulator import callers as callers_
from emulator import day
from emulator import features
from emulator import troubles
from oleanderwood import clock
from oleanderwood import event_log
from soak import processes
from soak import strikes
from soak import world as worlds

LEAD_S = 3.0
"""Time that the servers get before the first job."""

FINISH_S = 60.0
"""Longest time after the last strike until every accepted job has ended."""

STRIKES_PER_S = 0.4
"""About one strike each 2.5 s, so that two or three overlap."""

RESIZES_PER_S = 0.2
"""Changes of rooms, beside them, where they are asked for."""

ORDERS_PER_S = 0.15
"""Troubles around orders for machines, beside them, where they are asked for.
"""

ODD_VALUES_PER_S = 0.1
"""Spans in which another writer writes odd values, where they are asked for.
"""

LARGE_FEATURES = (features.Feature.MANY_STEPS,)
"""Repeated jobs are left to emulated days: when an occurrence is due is judged
by their clock."""

CHANGES_PER_S = 0.2
"""Changes of tenants, beside them, where there are some."""

PRESSURE_JOBS_PER_S = 8.0
"""Jobs a second that are several times what the soak's machines can do."""

PRESSURE_TENANTS = 4

APP = cyclopts.App(name='soak', help='Real servers under drawn faults.')


@dataclasses.dataclass
class Outcome:
    """What one seed came to."""

    seed: int
    result: day.Result
    cuts: list[worlds.Cut]
    folder: pathlib.Path


def failed(outcome: Outcome) -> bool:
    """Say whether a rule was broken, or a job didn't end."""
    result = outcome.result
    return bool(result.breaches or result.unfinished or outcome.cuts)


async def soak(
    plan: day.Plan,
    folder: pathlib.Path,
    rows: list[strikes.Strike],
) -> Outcome:
    """Run one deployment under some strikes."""
    world = await worlds.build(plan, folder)
    disturbing: list[curio.Task] = []
    try:
        with worlds.calling(world):
            await curio.sleep(LEAD_S)
            for row in rows:
                await curio.spawn(_later, world, row, daemon=True)
            disturbing.append(
                await curio.spawn(
                    callers_.abandon_always,
                    world.callers,
                    plan.pools,
                    daemon=True,
                )
            )
            if plan.tenants:
                disturbing += await _change_tenants(world)
            rng = random.Random(plan.seed + 4)
            await day.hand_in_jobs(world.callers, plan, rng)
            await _finish(world, rows)
    finally:
        world.fleet.ended = True
        for task in disturbing:
            await task.cancel()
        for process in world.field.servers:
            process.busy = True
            await processes.kill(process)
    store = world.field.scene.store
    result = day.judge(world.callers, world.fleet, store)
    return Outcome(plan.seed, result, world.cuts, folder)


async def _change_tenants(world: worlds.World) -> list[curio.Task]:
    """Let strangers call, and operators change tenants; gives the tasks."""
    plan = world.plan
    tasks = [
        await curio.spawn(
            callers_.disturb_always, world.callers, plan.pools, daemon=True
        )
    ]
    count = round(plan.length_s * CHANGES_PER_S)
    began_s = clock.now_s()
    for trouble in troubles.draw(
        plan.seed, plan.length_s, count, troubles.TENANT_KINDS
    ):
        late = dataclasses.replace(trouble, at_s=began_s + trouble.at_s)
        tasks.append(
            await curio.spawn(
                troubles.strike, world.field.scene, late, daemon=True
            )
        )
    return tasks


async def _later(world: worlds.World, row: strikes.Strike) -> None:
    await curio.sleep(row.at_s)
    await strikes.strike(world.field, row)


async def _finish(world: worlds.World, rows: list[strikes.Strike]) -> None:
    """Wait until all strikes have passed and all jobs have ended."""
    last_s = max((row.at_s + row.for_s for row in rows), default=0.0)
    await curio.sleep(max(0.0, last_s - world.plan.length_s))
    end_s = clock.now_s() + FINISH_S
    while clock.now_s() < end_s:
        await curio.sleep(0.5)
        store = world.field.scene.store
        if not day.judge(world.callers, world.fleet, store).unfinished:
            return


def _quiet(part: str, event: str, **fields) -> None:
    """Log nothing for the callers; the servers log for themselves."""


@APP.default
def main(
    *,
    seed: int = 1,
    seeds: int = 1,
    seconds: float = 20.0,
    servers: int = 3,
    crashes: bool = False,
    tenants: int = 0,
    pressure: bool = False,
    orders: bool = False,
    large: bool = False,
) -> int:
    """Soak some seeds, one after another.

    :param seconds: of traffic and strikes, for each seed
    :param servers: processes of the product
    :param tenants: callers with keys and limits, which change, beside
        strangers with wrong keys
    :param pressure: callers send several times what the pools can do, and
        load control is in force
    :param orders: orders for machines are held up past their sender or have no
        answer, and an executor is lost as an order to start arrives
    :param large: some jobs have hundreds of steps, and another writer writes
        odd values under keys that servers follow
    :param crashes: some tasks crash their executors, and rooms change
    """
    event_log.emit = _quiet
    logging.getLogger('curio.time').setLevel(logging.ERROR)
    bad = []
    for number in range(seed, seed + seeds):
        plan = day.Plan(
            number, length_s=seconds, server_count=servers, tenants=tenants
        )
        rows = strikes.draw(number, seconds, STRIKES_PER_S)
        if pressure:
            plan = pressed(plan)
        if crashes:
            plan = _with_features(plan, features.Feature.CRASHES)
            rows += strikes.draw_resizes(number, seconds, RESIZES_PER_S)
        if large:
            plan = _with_features(plan, *LARGE_FEATURES)
            rows += strikes.draw_values(number, seconds, ODD_VALUES_PER_S)
        if orders:
            rows += strikes.draw_orders(number, seconds, ORDERS_PER_S)
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{number}-'))
        outcome = curio.run(soak, plan, folder, rows)
        _tell(outcome, rows)
        if failed(outcome):
            bad.append(number)
    print(f'soak: FAILED, seeds {bad}' if bad else 'soak: ok')
    return 1 if bad else 0


def _with_features(plan: day.Plan, *wanted: features.Feature) -> day.Plan:
    return dataclasses.replace(plan, features=(*plan.features, *wanted))


def pressed(plan: day.Plan) -> day.Plan:
    """Return a plan in which callers press and load control is in force."""
    return dataclasses.replace(
        plan,
        pressure=True,
        jobs_per_s=PRESSURE_JOBS_PER_S,
        tenants=plan.tenants or PRESSURE_TENANTS,
    )


def _tell(outcome: Outcome, rows: list[strikes.Strike]) -> None:
    result = outcome.result
    waits_s = result.waits_s or [0.0]
    print(
        f'seed {outcome.seed}: {result.accepted} of {result.handed_in} jobs '
        f'accepted, {result.starts} starts, {len(rows)} strikes, half of the '
        f'jobs ended within {waits_s[len(waits_s) // 2]:.1f} s'
    )
    if not failed(outcome):
        return
    for breach in result.breaches[:10]:
        print(f'  {breach}')
    for job in result.unfinished[:10]:
        print(f'  not ended: {job}')
    for cut in outcome.cuts[:10]:
        print(f'  cut at {cut.server} while it stopped: {cut.why}')
    strikes_told = [f'{row.at_s:.1f} {row.kind.value}' for row in rows]
    print(f'  strikes: {", ".join(strikes_told)}')
    print(f'  logs: {outcome.folder}')


if __name__ == '__main__':
    sys.exit(APP())
