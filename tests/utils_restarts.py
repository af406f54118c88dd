"""Scenarios of executors that restart under their id, in virtual time."""

import collections
import dataclasses
import json

import curio

from emulator import day
from emulator import evidence as evidences
from emulator import features
from emulator import fleet as fleets
from emulator import network as networks
from emulator import servers
from emulator import troubles
from tests import utils_takeover as build

PLAN = dataclasses.replace(build.PLAN, tells_births=True)


def play(scenario):
    """Run ``scenario(scene)`` with executors that report their birth time."""
    return build.play(scenario, PLAN)


def with_pools(pools) -> day.Plan:
    """Return the plan of the same day with other pools."""
    return dataclasses.replace(PLAN, pools=pools)


def machine_at(scene, address) -> fleets.Machine:
    """Return the machine with an address."""
    rows = scene.fleet.machines.values()
    return next(row for row in rows if row.address == address)


def done_twice(result) -> list[str]:
    """Return the names of the tasks that were done more than once."""
    done = collections.Counter(
        sight.task
        for sight in result.evidence.sights
        if sight.kind is evidences.Kind.ENDED and sight.how == 'done'
    )
    return [task for task, count in done.items() if count > 1]


LONG = build.step(1, 16000, 20_000)
BRIEF_MS = 30


async def start_job(scene, step) -> list[str]:
    """Start a job; return a list that receives the address of each start."""
    begun: list[str] = []
    build.record_starts(scene, begun)
    await build.submit_job(scene, build.leader(scene), step)
    await curio.sleep(1.0)
    return begun


async def submit_brief_jobs(scene, jobs) -> None:
    """Submit jobs of three tasks that each take some milliseconds."""
    leader = build.leader(scene)
    for _ in range(jobs):
        await build.submit_job(scene, leader, build.step(3, 16000, BRIEF_MS))


async def restart(
    scene, address, away_s=0.05, late_entry=False, resets=False
) -> None:
    """Restart the executor at an address under its id."""
    machine = machine_at(scene, address)
    await fleets.restart(scene.fleet, machine, away_s, late_entry, resets)


def runs_at(scene, job: str) -> list[str]:
    """Return the addresses of the executors that run a job."""
    return [
        machine.address
        for machine in scene.fleet.machines.values()
        if machine.executor is not None
        and any(name.startswith(job) for name in machine.executor.running)
    ]


async def restart_under(
    scene, job: str, age_s: float, resets: bool = True, beside=()
) -> str:
    """Restart the executor of a job's only run; return its address.

    :param age_s: age of the run at that moment
    :param resets: its connections are reset
    :param beside: addresses of others that restart at that moment, and
        whether their connections are reset
    """
    await build.wait_until(lambda: runs_at(scene, job), 0.002)
    (address,) = runs_at(scene, job)
    await curio.sleep(age_s)
    async with curio.TaskGroup() as group:
        await group.spawn(restart, scene, address, 0.3, False, resets)
        for other, other_resets in beside:
            await group.spawn(restart, scene, other, 0.3, False, other_resets)
    return address


async def delay_entries(scene, for_s) -> None:
    """Delay the store's answers on workers' entries for a while."""
    until_s = await curio.clock() + for_s
    handler = scene.network.handlers[servers.STORE_ADDRESS]

    async def answer_later(source, method, target, *rest):
        answer = await handler(source, method, target, *rest)
        if 'servers%2F' in target:
            await curio.sleep(max(0.0, until_s - await curio.clock()))
        return answer

    scene.network.handlers[servers.STORE_ADDRESS] = answer_later


async def wait_for_second_start(scene, begun, max_s=10.0) -> float:
    """Wait for a second start, and return how long it took."""
    from_s = await curio.clock()
    while len(begun) < 2 and await curio.clock() < from_s + max_s:
        await curio.sleep(0.001)
    return await curio.clock() - from_s


def delay_order(
    scene, address, after_s, path='/run-start', matches=None, delayed=None
) -> list[str]:
    """Delay the first matching order at an address.

    :param path: path of the order
    :param matches: predicate on the body of an order; None: any body matches
    :param delayed: list shared by several addresses, so that one order is
        delayed in all
    :return: list that receives the address of the delayed order
    """
    handler = scene.network.handlers[address]
    delayed = [] if delayed is None else delayed

    async def handle(source, method, target, body, headers):
        is_match = target == path and (
            matches is None or matches(json.loads(body))
        )
        if is_match and not delayed:
            delayed.append(address)
            await networks.carry_out_later(
                scene.network,
                after_s,
                address,
                (source, method, target, body, headers),
            )
        return await handler(source, method, target, body, headers)

    scene.network.handlers[address] = handle
    return delayed


def executor_addresses(scene) -> list[str]:
    """Return the addresses of all present executors."""
    machines = scene.fleet.machines.values()
    return [row.address for row in machines if row.executor is not None]


def delay_one_order(
    scene, after_s, path='/run-start', matches=None
) -> list[str]:
    """Delay the first matching order at any address; see ``delay_order``."""
    delayed: list[str] = []
    for address in executor_addresses(scene):
        delay_order(scene, address, after_s, path, matches, delayed)
    return delayed


def record_late_outcomes(scene, address) -> list[str]:
    """Return a list that receives the outcomes of late orders at an address.

    An outcome is the reason of a refusal; '' if the order was carried out.
    """
    handler = scene.network.handlers[address]
    outcomes: list[str] = []

    async def handle(source, method, target, body, headers):
        answer = await handler(source, method, target, body, headers)
        if networks.LATE_HEADER in headers:
            outcomes.append(json.loads(answer.body).get('reason', ''))
        return answer

    scene.network.handlers[address] = handle
    return outcomes


def ends_of_next_incarnation(ended_counts=None):
    """Restart executors that have ended 37 tasks.

    :param ended_counts: receives the number of jobs shown as ended
    """

    async def scenario(scene):
        begun = await start_job(scene, build.step(1, 16000, BRIEF_MS))
        await submit_brief_jobs(scene, 12)
        await curio.sleep(3.0)
        for address in sorted(set(begun)):
            await restart(scene, address, 0.0)
        await submit_brief_jobs(scene, 6)
        await curio.sleep(8.0)
        if ended_counts is not None:
            ended_counts.append(len(scene.callers.finished_s))

    return play(scenario)


def ends_of_unknown_incarnation():
    """Send orders to an incarnation that no server knows of yet."""

    async def scenario(scene):
        begun = await start_job(scene, build.step(1, 16000, BRIEF_MS))
        await submit_brief_jobs(scene, 9)
        await curio.sleep(4.0)
        await delay_entries(scene, 6.0)
        await curio.sleep(1.0)
        for address in sorted(set(begun)):
            await restart(scene, address, 0.0)
        for _ in range(3):
            await submit_brief_jobs(scene, 1)
            await curio.sleep(0.3)
        await curio.sleep(8.0)

    return play(scenario)


def late_order(restart_s):
    """Let the next incarnation carry out an order that got no answer.

    :param restart_s: time from the order to the restart; after 0.3 s the order
        is unconfirmed, after 3 s the worker was asked about it, its run was
        stopped there, and the task runs elsewhere
    """
    delayed = []

    async def scenario(scene):
        for machine in scene.fleet.machines.values():
            if machine.executor is not None:
                rows = delay_order(scene, machine.address, 9.0)
                delayed.append((machine.address, rows))
        await build.submit_job(scene, build.leader(scene), LONG)
        await curio.sleep(restart_s)
        hit = [address for address, rows in delayed if rows]
        await restart(scene, hit[0], 0.05)
        await curio.sleep(10.0)

    return play(scenario)


def order_in_flight_at_a_leaders_death(kill_after_s, harm=None, outcomes=None):
    """Delay a start by 8 s, and kill its leader before the call times out.

    The next leader runs the task to its end and is then cut off from that
    executor, which restarts 0.5 s before the order arrives.

    :param kill_after_s: time between the order and the leader's death
    :param harm: how calls across the cut fail; None: they are never answered
    :param outcomes: receives the list of outcomes of the late order
    """

    async def scenario(scene):
        due_s = await curio.clock() + 8.0
        late = delay_one_order(scene, 8.0)
        leader = build.leader(scene)
        await build.submit_job(scene, leader, build.step(1, 16000, 1000))
        await build.wait_until(lambda: late, 0.001)
        await curio.sleep(kill_after_s)
        await build.restart_leader(scene)
        await build.wait_until(lambda: scene.callers.finished_s)
        (address,) = late
        await curio.sleep(due_s - 0.5 - await curio.clock())
        way = (build.leader(scene).name, address)
        if harm is None:
            scene.network.cuts.add(way)
        else:
            scene.network.harms[way] = harm
        await restart(scene, address)
        if outcomes is not None:
            outcomes.append(record_late_outcomes(scene, address))
        await curio.sleep(2.0)
        scene.network.cuts.clear()
        scene.network.harms.clear()

    return play(scenario)


def late_acknowledgement():
    """Let the next incarnation carry out an acknowledgement of ends.

    By then that incarnation has ended tasks, and no server reaches it for a
    while.
    """

    async def scenario(scene):
        delayed = delay_one_order(
            scene, 6.0, '/hold', lambda asked: asked['last_seen'] > 0
        )
        await submit_brief_jobs(scene, 1)
        while not delayed:
            await curio.sleep(0.01)
        await curio.sleep(1.5)
        await restart(scene, delayed[0], 0.05)
        await curio.sleep(1.0)
        await build.submit_job(
            scene, build.leader(scene), build.step(6, 8000, 1000)
        )
        await curio.sleep(0.3)
        cuts = {(process.name, delayed[0]) for process in scene.processes}
        scene.network.cuts |= cuts
        await curio.sleep(3.5)
        scene.network.cuts -= cuts
        await curio.sleep(6.0)

    return play(scenario)


def roster_of_previous_incarnation(gap_s, start_counts=None):
    """Restart an executor while another server takes over.

    :param gap_s: time between the leader's death and the restart
    :param start_counts: receives the number of starts
    """

    async def scenario(scene):
        begun = await start_job(scene, LONG)
        await build.kill(scene, build.leader(scene))
        await curio.sleep(gap_s)
        await restart(scene, begun[0], 0.05)
        await curio.sleep(10.0)
        if start_counts is not None:
            start_counts.append(len(begun))

    return play(scenario)


def previous_leader_beside_next_incarnation():
    """Let only the previous leader reach the next incarnation.

    The end of the run in the incarnation before was read by the next leader.
    """

    async def scenario(scene):
        previous = build.leader(scene)
        begun = await start_job(scene, build.step(1, 16000, 3_000))
        second, third = [row for row in scene.processes if row is not previous]
        idle = next(
            machine.address
            for machine in scene.fleet.machines.values()
            if machine.address != begun[0]
        )
        build.partition(scene, [previous, second], [third], idle)
        await curio.sleep(5.0)
        scene.network.cuts.add((third.name, begun[0]))
        scene.network.cuts.discard((previous.name, begun[0]))
        await restart(scene, begun[0], 0.05)

    return play(scenario)


def hidden_after_restart():
    """Cut a worker off from all servers after its executor's restart.

    Its lease is measured by its own clock, which has started anew.
    """

    async def scenario(scene):
        await start_job(scene, LONG)
        machines = list(scene.fleet.machines.values())
        for machine in machines:
            if machine.executor is not None:
                await restart(scene, machine.address, 0.05)
        await curio.sleep(2.0)
        (busy,) = [
            machine
            for machine in machines
            if machine.executor is not None and machine.executor.running
        ]
        for process in scene.processes:
            scene.network.cuts.add((process.name, busy.address))
        await curio.sleep(12.0)

    return play(scenario)


def random_day(
    seed,
    wanted_features=(),
    cuts=0,
    restart_count=3,
    fault_count=2,
    **fields,
):
    """Run a day with random faults, cuts, and restarts.

    :param wanted_features: features that its jobs use
    :param fields: further fields of the day's plan
    """
    faults = troubles.draw(seed, 12.0, fault_count, troubles.LAB_KINDS)
    faults += troubles.draw(seed, 12.0, cuts, troubles.CUT_KINDS)
    faults += troubles.draw(seed, 12.0, restart_count, troubles.RESTART_KINDS)
    plan = day.Plan(
        seed,
        troubles=tuple(faults),
        features=wanted_features,
        finish_s=features.finish_s(wanted_features, day.FINISH_S),
        tells_births=True,
        **fields,
    )
    return day.play(plan)


def lab_day(seed):
    """Run such a day as the lab does, with two random features."""
    return random_day(seed, features.draw(seed, 2))


def day_with_a_cut(seed):
    """Run such a day with a cut and two restarts."""
    return random_day(seed, features.draw(seed, 2), 1, 2)


def day_of_many_restarts(seed):
    """Run such a day with three faults, a cut and six restarts."""
    return random_day(seed, features.draw(seed, 2), 1, 6, 3)
