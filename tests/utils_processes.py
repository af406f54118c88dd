"""Builders of small deployments of real processes for the fault tests."""

import contextlib
import dataclasses
import json
import time

import curio

from demo import checker
from demo import daemons
from demo import deployments
from demo import evidence
from demo import figures
from demo import processes
from demo import scene as scenes
from oleanderwood import errors
from oleanderwood import http_client

SMALL = """
[[services]]
name = 'drafts'
path_prefix = '/drafts'
idempotent = true
timeout_s = 5.0

[[services]]
name = 'finals'
path_prefix = '/finals'
idempotent = false
timeout_s = 5.0

[[services]]
name = 'units'
path_prefix = '/units'
idempotent = true
timeout_s = 5.0

[[pools]]
name = 'drafts'
service = 'drafts'
region = 'r-1'
data_centres = ['d-1', 'd-2']
size = 4
min_up = 2

[[pools]]
name = 'finals'
service = 'finals'
region = 'r-1'
data_centres = ['d-1', 'd-2']
size = 4
min_up = 2

[[pools]]
name = 'units'
service = 'units'
region = 'r-1'
data_centres = ['d-1', 'd-2']
size = 2
min_up = 1

[[teams]]
name = 'crews'
requests_per_s = 1000.0

[[waves]]
name = 'monthly'
pools = ['drafts', 'finals', 'units']
deadline_s = 600.0
"""


LOAD = 4
WAIT_S = 25.0
WAVE = 'monthly'


@dataclasses.dataclass
class Stage:
    """A small deployment, and the kernel that its callers live in."""

    kernel: curio.Kernel
    scene: scenes.Scene

    @property
    def deployment(self):
        """The deployment."""
        return self.scene.deployment

    @property
    def run(self):
        """All processes."""
        return self.scene.deployment.run


@contextlib.contextmanager
def small(entries=2, controllers=2, admins=2, seed=1, planted=None):
    """Give the stage of a small deployment that is up and configured.

    :param planted: defects by kind of daemon, see tests/planted.py
    """
    size = deployments.Size(
        entries=entries,
        controllers=controllers,
        admins=admins,
        drain_s=0.1,
        reboot_s=0.5,
    )
    with processes.running() as run, curio.Kernel() as kernel:
        file = run.directory / 'small.toml'
        file.write_text(SMALL)
        yield Stage(kernel, kernel.run(_open, run, file, size, seed, planted))


async def _open(run, file, size, seed, planted):
    deployment = await deployments.start(run, 'small', file, size, 0)
    deployment.planted = planted or {}
    await daemons.start_all(deployment)
    return scenes.make(deployment, seed)


@contextlib.asynccontextmanager
async def load(scene, callers=LOAD, work_ms=None):
    """Keep callers at work; give the attempts made meanwhile."""
    made = []
    before = len(scene.attempts)
    await scenes.begin(scene, callers, work_ms=work_ms)
    try:
        yield made
    finally:
        await scenes.end(scene)
        made.extend(scene.attempts[before:])


def child(stage, number, kind=daemons.Kind.ENTRY):
    """Give a daemon's process by the number of its VM."""
    return stage.deployment.vms[number].daemons[kind]


async def until(holds, what, timeout_s=WAIT_S):
    """Wait until a coroutine function gives something true; give that."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        found = await holds()
        if found:
            return found
        await curio.sleep(0.05)
    raise AssertionError(f'not in {timeout_s} s: {what}')


async def writes(scene):
    """Read the store's history."""
    return await evidence.fetch_log(
        scene.deployment.store, evidence.StoreWrite
    )


async def settle(stage):
    """Wait until all is ready and all pools are filled."""
    deployment = stage.deployment
    probes = daemons.all_probes(deployment)
    await deployments.until_ready(stage.run, probes)
    await daemons.until_serving(deployment)


async def restart(stage, which):
    """Start an ended daemon anew."""
    processes.restart(which)
    await settle(stage)


async def wave_done(stage):
    """Say whether no wave is under way."""
    answer = await daemons.ctl(stage.deployment, 'status')
    if answer.status:
        return False
    states = [
        wave['state']
        for region in answer.json()['waves']
        for wave in region['waves']
    ]
    return 'running' not in states and 'paused' not in states


async def until_wave_over(stage, timeout_s=WAIT_S):
    """Wait until no wave is under way."""

    async def over():
        return await wave_done(stage)

    await until(over, 'the end of the wave', timeout_s)


async def until_wave_done(stage, timeout_s=WAIT_S):
    """Wait until no wave is under way and all daemons are ready."""
    await until_wave_over(stage, timeout_s)
    await settle(stage)


async def events(scene):
    """Read what the platform saw."""
    return await evidence.fetch_log(
        scene.deployment.platform, evidence.PlatformEvent
    )


async def breaches(scene):
    """Check all that was seen since the deployment began."""
    report = checker.check(await scenes.gather(scene))
    return [str(breach) for breach in report.breaches]


def outcomes(attempts):
    """Count attempts by answer or verdict."""
    return figures.outcomes(attempts)


def unanswered(attempts):
    """Tell of each attempt that wasn't answered why."""
    return [
        (a.path, a.status, a.verdict, a.refusal or a.reason)
        for a in attempts
        if a.status != 200 or not a.whole
    ]


async def dump(stage, number, kind=daemons.Kind.ENTRY):
    """Read a daemon's state, {} if it doesn't answer."""
    address = daemons.probes(stage.deployment.vms[number], kind)
    try:
        answer = await http_client.call(address, 'GET', '/dump')
    except errors.CallFailed:
        return {}
    return json.loads(answer.body)
