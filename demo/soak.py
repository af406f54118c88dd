"""Access to the randomised run: real processes, load, faults, a checker.

The last line is ``soak: ok seed=... requests=... breaches=0 ...``, or
``soak: failed ...`` with exit status 1.
"""

import collections
import dataclasses
import pathlib
import sys
import time

import curio
import cyclopts

from demo import checker
from demo import daemons
from demo import deployments
from demo import processes
from demo import scene as scenes
from demo import schedule
from demo import strikes

SHOWN_BREACHES = 20
APPLY_EVERY_S = 6.0
WAVE_EVERY_S = 1.0
RECOVERY_S = 30.0


@dataclasses.dataclass
class Outcome:
    """What a soak came to.

    :ivar failures: reasons, beside breaches, why it failed
    """

    report: checker.Report
    striker: strikes.Striker
    reboots: int = 0
    tasks: int = 0
    recovery_s: float = 0.0
    applies: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    failures: list[str] = dataclasses.field(default_factory=list)


def say(text: str) -> None:
    """Print a line at once."""
    print(text, flush=True)


async def soak(
    run: processes.Run,
    name: str,
    seed: int,
    length_s: float,
    size: deployments.Size,
    kinds: tuple[schedule.Fault, ...] = tuple(schedule.Fault),
    repeat_doubtful: bool = False,
) -> Outcome:
    """Run one deployment under a schedule of faults, and check it.

    :param name: ``klapa`` or ``ascensia``
    """
    file = deployments.file_with_wave(run, name)
    deployment = await deployments.start(run, name, file, size, 0)
    await daemons.start_all(deployment)
    scene = scenes.make(deployment, seed)
    say(f'soak: {name} is up, {len(run.children)} processes')
    await scenes.begin(scene, repeat_doubtful=repeat_doubtful)
    steps = schedule.draw(seed, length_s, kinds)
    striker = strikes.Striker(scene, time.monotonic(), say)
    outcome = Outcome(checker.Report(), striker)
    applying = await curio.spawn(_apply, scene, outcome)
    waving = await curio.spawn(_wave, deployment, outcome)
    await strikes.run(striker, steps)
    await curio.sleep(max(0.0, striker.start_s + length_s - time.monotonic()))
    await applying.cancel()
    await waving.cancel()
    await _recover(deployment, outcome)
    await scenes.end(scene)
    seen = await scenes.gather(scene)
    outcome.report = checker.check(seen)
    outcome.reboots = sum(e.kind == 'reboot' for e in seen.events)
    outcome.tasks = sum(e.kind == 'task-start' for e in seen.events)
    outcome.failures += [
        f'{child.name} ended by itself:\n{processes.tail(child)}'
        for child in processes.crashed(run)
    ]
    return outcome


async def _apply(scene: scenes.Scene, outcome: Outcome) -> None:
    while True:
        await curio.sleep(APPLY_EVERY_S)
        start_s = time.monotonic()
        answer = await daemons.apply_marker(scene.deployment, scene.markers)
        say(
            f'apply {scene.markers.newest}: status {answer.status} after '
            f'{time.monotonic() - start_s:.1f} s '
            f'{answer.errors.strip()} {answer.output.strip()}'
        )
        outcome.applies[answer.status] += 1


async def _wave(deployment: deployments.Deployment, outcome: Outcome) -> None:
    """Keep a wave going; start it anew when it is done or stopped."""
    while True:
        await daemons.start_wave(deployment, deployments.WAVE)
        await curio.sleep(WAVE_EVERY_S)


async def _recover(
    deployment: deployments.Deployment, outcome: Outcome
) -> None:
    """See that all daemons are ready once the faults are over."""
    probes = daemons.all_probes(deployment)
    try:
        await deployments.until_ready(deployment.run, probes, RECOVERY_S)
        outcome.recovery_s = await daemons.until_serving(
            deployment, RECOVERY_S
        )
    except processes.StartFailed as error:
        outcome.failures.append(f'no recovery: {error}')


def summary(seed: int, outcome: Outcome, seen_s: float) -> str:
    """Make the last line."""
    report = outcome.report
    good = not report.breaches and not outcome.failures
    faults = sum(outcome.striker.done.values())
    counts = ' '.join(f'{k}={n}' for k, n in sorted(report.outcomes.items()))
    return (
        f'soak: {"ok" if good else "failed"} seed={seed} '
        f'requests={report.requests} breaches={len(report.breaches)} '
        f'failures={len(outcome.failures)} faults={faults} '
        f'{counts} applies={outcome.applies[0]} '
        f'refused_applies={outcome.applies.total() - outcome.applies[0]} '
        f'reboots={outcome.reboots} task_starts={outcome.tasks} '
        f'least_above_min_up={_least_above(outcome)} '
        f'in_force_s={report.in_force_s:.1f} '
        f'latest_work_s={report.latest_work_s:.2f} seconds={seen_s:.0f}'
    )


def _least_above(outcome: Outcome) -> int | str:
    """Give how near a planned step came to a pool's promise."""
    whole = outcome.striker.scene.deployment.whole
    promised = {pool.name: pool.min_up for pool in whole.pools}
    least = outcome.report.least_up
    return min((least[p] - promised[p] for p in least), default='none')


def main(
    *,
    seconds: float = 60.0,
    seed: int = 1,
    deployment: str = 'klapa',
    entries: int = 6,
    faults: str = '',
    repeat_doubtful: bool = False,
    keep: str = '',
) -> None:
    """Run a soak.

    :param deployment: klapa or ascensia
    :param faults: kinds of faults, with commas between; '' for all
    :param repeat_doubtful: callers repeat what may have run under its key
    :param keep: directory that takes the logs of a failed run
    """
    size = deployments.Size(entries=entries)
    names = faults.split(',') if faults else list(schedule.Fault)
    kinds = tuple(schedule.Fault(name) for name in names)
    start_s = time.monotonic()
    with processes.running() as run:
        outcome = curio.run(
            soak,
            run,
            deployment,
            seed,
            seconds,
            size,
            kinds,
            repeat_doubtful,
        )
        for breach in outcome.report.breaches[:SHOWN_BREACHES]:
            say(f'soak: breach {breach}')
        for failure in outcome.failures:
            say(f'soak: failure {failure}')
        failed = outcome.report.breaches or outcome.failures
        if keep and failed:
            processes.keep_logs(run, pathlib.Path(keep))
    say(summary(seed, outcome, time.monotonic() - start_s))
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    cyclopts.run(main)
