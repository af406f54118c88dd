"""Access to the faults of a schedule, brought about in a deployment."""

import collections.abc
import dataclasses
import time

import curio

from demo import daemons
from demo import deployments
from demo import processes
from demo import scene as scenes
from demo import schedule
from oleanderwood import errors
from oleanderwood import http_client
from oleanderwood import ids
from standins import balancer

FAULT = schedule.Fault
RESTART_READY_S = 40.0

Tell = collections.abc.Callable[[str], None]


@dataclasses.dataclass
class Striker:
    """Brings about steps; ``active`` are those of the stand-ins now.

    :ivar struck: children that a step has in hand, by name
    :ivar done: steps brought about, by fault
    """

    scene: scenes.Scene
    start_s: float
    tell: Tell
    active: list[schedule.Step] = dataclasses.field(default_factory=list)
    struck: set[str] = dataclasses.field(default_factory=set)
    done: dict[str, int] = dataclasses.field(default_factory=dict)
    skipped: int = 0


async def run(striker: Striker, steps: list[schedule.Step]) -> None:
    """Bring about all steps; return after the last has ended.

    :raises Exception: the first failure of a step, which is a fault of
        the run itself
    """
    async with curio.TaskGroup(wait=all) as group:
        for step in steps:
            await group.spawn(_strike, striker, step)
    for error in group.exceptions:
        if error is not None:
            raise error


async def _strike(striker: Striker, step: schedule.Step) -> None:
    await _until(striker, step.start_s)
    striker.tell(schedule.describe(step))
    count = striker.done.get(step.fault.value, 0)
    striker.done[step.fault.value] = count + 1
    await HOW[step.fault](striker, step)


async def _until(striker: Striker, after_s: float) -> None:
    left_s = striker.start_s + after_s - time.monotonic()
    await curio.sleep(max(0.0, left_s))


async def _standin(striker: Striker, step: schedule.Step) -> None:
    striker.active.append(step)
    await _refresh(striker)
    await _until(striker, step.end_s)
    striker.active.remove(step)
    await _refresh(striker)


async def _refresh(striker: Striker) -> None:
    """Give each stand-in the sum of the faults that are active."""
    merged: dict[str, dict[str, object]] = {
        'store': {},
        'platform': {},
        'upstreams': {},
    }
    cut = 0.0
    for step in striker.active:
        if step.fault is FAULT.CALLERS_CUT:
            cut = max(cut, 0.3 * step.strength)
            continue
        which, values = _values(step)
        merged[which].update(values, seed=step.target)
    for which, values in merged.items():
        address = getattr(striker.scene.deployment, which)
        await deployments.set_faults(address, **values)
    where = striker.scene.deployment.balancer
    await deployments.post(where, '/cut', balancer.Cut(share=cut))


def _values(step: schedule.Step) -> tuple[str, dict[str, object]]:
    """Give the stand-in that a step concerns, and the fault's values."""
    strength = step.strength
    match step.fault:
        case FAULT.STORE_DOWN:
            return 'store', {'hang' if strength < 0.3 else 'down': True}
        case FAULT.STORE_SLOW:
            return 'store', {'delay_s': 2 * strength, 'reorder_s': strength}
        case FAULT.STORE_LOSES_ANSWERS:
            return 'store', {'lose_answer': strength}
        case FAULT.STORE_REFUSES:
            return 'store', {'refuse': strength}
        case FAULT.LIST_LAGS:
            return 'platform', {'lag_s': 8 * strength}
        case FAULT.LIST_REPEATS:
            return 'platform', {'repeat_list': True}
        case FAULT.PLATFORM_DOWN:
            return 'platform', {'down': True}
        case FAULT.PLATFORM_LOSES_ANSWERS:
            return 'platform', {'lose_answer': strength}
        case FAULT.REBOOTS_FAIL:
            return 'platform', {'fail_reboot': 0.5 * strength}
        case FAULT.UPSTREAMS_CUT:
            return 'upstreams', {'cut_answer': 0.3 * strength}
        case FAULT.UPSTREAMS_REFUSE:
            return 'upstreams', {'refuse': 0.5 * strength}
    raise ValueError(step.fault)


def _children(striker: Striker, step: schedule.Step) -> list[processes.Child]:
    """Give the processes of the kind that a step strikes."""
    kind = step.fault.value.partition('-')[0]
    return [
        child
        for vm in striker.scene.deployment.vms
        for child in (vm.daemons.get(daemons.Kind(kind)),)
        if child is not None
    ]


def _take(striker: Striker, step: schedule.Step) -> processes.Child | None:
    """Take the target in hand, None if another step has it."""
    children = _children(striker, step)
    if not children:
        return None
    child = children[step.target % len(children)]
    if child.name in striker.struck:
        striker.skipped += 1
        return None
    striker.struck.add(child.name)
    return child


async def _kill(striker: Striker, step: schedule.Step) -> None:
    child = _take(striker, step)
    if child is None:
        return
    processes.kill(child)
    await _until(striker, step.end_s)
    processes.restart(child)
    striker.struck.discard(child.name)


async def _pause(striker: Striker, step: schedule.Step) -> None:
    child = _take(striker, step)
    if child is None:
        return
    processes.pause(child)
    await _until(striker, step.end_s)
    processes.resume(child)
    striker.struck.discard(child.name)


async def _replace(striker: Striker, step: schedule.Step) -> None:
    child = _take(striker, step)
    if child is None:
        return
    await _stop(striker, child)
    await _until(striker, step.end_s)
    processes.restart(child)
    striker.struck.discard(child.name)


async def _stop(striker: Striker, child: processes.Child) -> None:
    status = await processes.stop(child, RESTART_READY_S)
    if status != 0:
        raise processes.StartFailed(
            f'{child.name} stopped with status {status}:\n'
            + processes.tail(child)
        )


async def _replace_all(striker: Striker, step: schedule.Step) -> None:
    for vm in striker.scene.deployment.vms:
        child = vm.daemons[daemons.Kind.ENTRY]
        if child.name in striker.struck:
            continue
        striker.struck.add(child.name)
        await _stop(striker, child)
        processes.restart(child)
        end_s = time.monotonic() + RESTART_READY_S
        while time.monotonic() < end_s:
            if await deployments.ready(vm.entry_probes):
                break
            await curio.sleep(deployments.POLL_S)
        striker.struck.discard(child.name)


async def _fail_upstream(striker: Striker, step: schedule.Step) -> None:
    places = list(deployments.vm_places(striker.scene.deployment.whole))
    vm = places[step.target % len(places)]
    await _order(striker, f'/vms/{vm}/fail')
    await _until(striker, step.end_s)
    await _order(striker, f'/vms/{vm}/mend')


async def _order(striker: Striker, target: str) -> None:
    """Post an event to the platform, which may be down by another step."""
    address: ids.Address = striker.scene.deployment.platform
    while True:
        try:
            await http_client.call(address, 'POST', target)
            return
        except errors.CallFailed:
            await curio.sleep(deployments.POLL_S)


async def _conflict(striker: Striker, step: schedule.Step) -> None:
    async with curio.TaskGroup(wait=all) as group:
        for _ in range(2):
            await group.spawn(
                daemons.apply_marker,
                striker.scene.deployment,
                striker.scene.markers,
            )


HOW = {
    FAULT.ENTRY_KILLED: _kill,
    FAULT.ENTRY_PAUSED: _pause,
    FAULT.ENTRY_REPLACED: _replace,
    FAULT.ALL_ENTRIES_REPLACED: _replace_all,
    FAULT.CONTROLLER_KILLED: _kill,
    FAULT.CONTROLLER_PAUSED: _pause,
    FAULT.ADMIN_KILLED: _kill,
    FAULT.UPSTREAM_FAILS: _fail_upstream,
    FAULT.CONFLICTING_APPLIES: _conflict,
    FAULT.STORE_DOWN: _standin,
    FAULT.STORE_SLOW: _standin,
    FAULT.STORE_LOSES_ANSWERS: _standin,
    FAULT.STORE_REFUSES: _standin,
    FAULT.LIST_LAGS: _standin,
    FAULT.LIST_REPEATS: _standin,
    FAULT.PLATFORM_DOWN: _standin,
    FAULT.PLATFORM_LOSES_ANSWERS: _standin,
    FAULT.REBOOTS_FAIL: _standin,
    FAULT.CALLERS_CUT: _standin,
    FAULT.UPSTREAMS_CUT: _standin,
    FAULT.UPSTREAMS_REFUSE: _standin,
}
