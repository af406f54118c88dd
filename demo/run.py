"""Access to the demonstration: both users' deployments, a wave, callers.

The last line is ``demo: ok ...`` with its figures, or ``demo: failed ...``
with exit status 1.
"""

import collections
import dataclasses
import json
import sys
import time

import curio
import cyclopts

from demo import checker
from demo import daemons
from demo import deployments
from demo import evidence
from demo import figures
from demo import processes
from demo import scene as scenes

SHOW_EVERY_S = 2.0
WAVE_LIMIT_S = 35.0
IN_FORCE_LIMIT_S = 8.0
SHOWN_BREACHES = 10


@dataclasses.dataclass
class Outcome:
    """What the demonstration of one deployment came to.

    :ivar failures: what went wrong beside breaches of the rules
    """

    name: str
    report: checker.Report
    wave_s: float = 0.0
    in_force_s: float = 0.0
    moves: int = 0
    failures: list[str] = dataclasses.field(default_factory=list)


def say(text: str) -> None:
    """Print a line at once."""
    print(text, flush=True)


async def demonstrate(
    run: processes.Run, size: deployments.Size
) -> list[Outcome]:
    """Show all deployments side by side."""
    outcomes = []
    async with curio.TaskGroup(wait=all) as group:
        for number, name in enumerate(deployments.FILES):
            outcome = Outcome(name, checker.Report())
            outcomes.append(outcome)
            await group.spawn(_show, run, outcome, number, size)
    for task_error in group.exceptions:
        if task_error is not None:
            raise task_error
    return outcomes


async def _show(
    run: processes.Run, outcome: Outcome, number: int, size: deployments.Size
) -> None:
    name = outcome.name
    start_s = time.monotonic()
    file = deployments.file_with_wave(run, name, pools=1)
    deployment = await deployments.start(run, name, file, size, number)
    await daemons.start_all(deployment)
    say(f'{name}: {_layout(deployment)}, up in {_since(start_s)}')
    scene = scenes.make(deployment, seed=number + 1)
    await scenes.begin(scene)
    watching = await curio.spawn(_watch, scene)
    await _change(scene, outcome)
    await _wave(scene, outcome)
    await _replace_entry(deployment, outcome)
    await watching.cancel()
    await scenes.end(scene)
    seen = await scenes.gather(scene)
    outcome.report = checker.check(seen)
    outcome.moves = figures.moves(seen.writes, scene.began_s)
    say(f'{name}: {outcome.moves} moves of VMs between pools')
    for line in figures.lines(scene, seen):
        say(f'{name}: {line}')
    await _stop(deployment, outcome)


def _layout(deployment: deployments.Deployment) -> str:
    whole = deployment.whole
    places = deployments.data_centres(whole)
    return (
        f'{len(places)} data centres, {len(whole.services)} services, '
        f'{len(deployments.vm_places(whole))} upstream VMs, '
        f'{len(deployment.vms)} entry VMs'
    )


def _since(start_s: float) -> str:
    return f'{time.monotonic() - start_s:.1f} s'


async def _watch(scene: scenes.Scene) -> None:
    """Tell every few seconds how it goes."""
    while True:
        await curio.sleep(SHOW_EVERY_S)
        writes = await evidence.fetch_log(
            scene.deployment.store, evidence.StoreWrite
        )
        say(f'{scene.deployment.name}: {figures.progress(scene, writes)}')


async def _change(scene: scenes.Scene, outcome: Outcome) -> None:
    """Apply a change, and see it in force at every entry."""
    deployment = scene.deployment
    start_s = time.monotonic()
    answer = await daemons.apply_marker(deployment, scene.markers)
    if answer.status:
        outcome.failures.append(f'apply: {answer}')
        return
    accepted_s = time.monotonic()
    number = scene.markers.newest
    while time.monotonic() - accepted_s < IN_FORCE_LIMIT_S:
        known = {p.entry for p in scene.probes if p.number == number}
        if len(known) == len(deployment.vms):
            outcome.in_force_s = time.monotonic() - accepted_s
            say(
                f'{deployment.name}: a change is in force at all '
                f'{len(known)} entries after {_since(start_s)}'
            )
            return
        await curio.sleep(deployments.POLL_S)
    outcome.failures.append('a change was not in force in time')


async def _wave(scene: scenes.Scene, outcome: Outcome) -> None:
    """Start the wave, and wait for its end."""
    deployment = scene.deployment
    start_s = time.monotonic()
    answer = await daemons.start_wave(deployment, deployments.WAVE)
    if answer.status:
        outcome.failures.append(f'wave start: {answer}')
        return
    state = ''
    while time.monotonic() - start_s < WAVE_LIMIT_S:
        before, state = state, await _wave_state(deployment)
        if state != before:
            say(f'{deployment.name}: wave {state}')
        if state.startswith(('done', 'stopped')):
            break
        await curio.sleep(SHOW_EVERY_S / 2)
    outcome.wave_s = time.monotonic() - start_s
    say(f'{deployment.name}: the wave took {_since(start_s)}')
    if not state.startswith('done'):
        outcome.failures.append(f'wave: {state}')


async def _wave_state(deployment: deployments.Deployment) -> str:
    answer = await daemons.ctl(deployment, 'status')
    if answer.status:
        return f'unknown: {answer.errors.strip()}'
    for region in json.loads(answer.output)['waves']:
        for wave in region['waves']:
            if wave['wave'] == deployments.WAVE:
                return (
                    f'{wave["state"]}, {wave["done"]} of {wave["total"]} VMs'
                )
    return 'unknown'


async def _replace_entry(
    deployment: deployments.Deployment, outcome: Outcome
) -> None:
    """Stop one entry in an orderly way under load, and start it anew."""
    vm = deployment.vms[0]
    child = vm.daemons[daemons.Kind.ENTRY]
    start_s = time.monotonic()
    status = await processes.stop(child)
    if status:
        outcome.failures.append(f'{child.name} stopped with status {status}')
    processes.restart(child)
    await deployments.until_ready(deployment.run, [vm.entry_probes])
    say(f'{deployment.name}: an entry was replaced in {_since(start_s)}')


async def _stop(deployment: deployments.Deployment, outcome: Outcome) -> None:
    """Stop all daemons in an orderly way, at once."""
    children = [
        child for vm in deployment.vms for child in vm.daemons.values()
    ]
    outcome.failures += [
        f'{child.name} ended by itself:\n{processes.tail(child)}'
        for child in processes.crashed(deployment.run)
        if child in children
    ]
    async with curio.TaskGroup(wait=all) as group:
        tasks = [
            (child, await group.spawn(processes.stop, child))
            for child in children
        ]
    outcome.failures += [
        f'{child.name} stopped with status {task.result}'
        for child, task in tasks
        if task.result
    ]


def summary(outcomes: list[Outcome], start_s: float) -> str:
    """Make the last line."""
    breaches = sum(len(one.report.breaches) for one in outcomes)
    failures = sum(len(one.failures) for one in outcomes)
    totals: collections.Counter = collections.Counter()
    for one in outcomes:
        totals.update(one.report.outcomes)
    counts = ' '.join(f'{k}={n}' for k, n in sorted(totals.items()))
    waves = ' '.join(f'{o.name}_wave_s={o.wave_s:.1f}' for o in outcomes)
    return (
        f'demo: {"failed" if breaches or failures else "ok"} '
        f'requests={sum(o.report.requests for o in outcomes)} {counts} '
        f'breaches={breaches} failures={failures} {waves} '
        f'in_force_s={max(o.in_force_s for o in outcomes):.1f} '
        f'moves={sum(o.moves for o in outcomes)} '
        f'seconds={time.monotonic() - start_s:.0f}'
    )


def main(*, entries: int = 6, controllers: int = 3, admins: int = 2) -> None:
    """Run the demonstration.

    :param entries: VMs of the system's own in each deployment
    :param controllers: how many of them run a controller
    :param admins: how many of them run the administration API
    """
    size = deployments.Size(entries, controllers, admins)
    start_s = time.monotonic()
    try:
        with processes.running() as run:
            outcomes = curio.run(demonstrate, run, size)
    except Exception as error:
        say(f'demo: failed {type(error).__name__}: {error}')
        sys.exit(1)
    for one in outcomes:
        for breach in one.report.breaches[:SHOWN_BREACHES]:
            say(f'{one.name}: breach {breach}')
        for failure in one.failures:
            say(f'{one.name}: failure {failure}')
    line = summary(outcomes, start_s)
    say(line)
    sys.exit(0 if line.startswith('demo: ok') else 1)


if __name__ == '__main__':
    cyclopts.run(main)
