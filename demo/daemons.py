"""Access to the daemons of a deployment, and to its command line."""

import collections
import contextlib
import enum
import json
import sys
import time
import typing

import curio
import curio.subprocess

from demo import deployments
from demo import evidence
from demo import marker
from demo import processes
from oleanderwood import errors
from oleanderwood import http_client
from oleanderwood import ids

DRAIN_NOTICE_S = 1.0
PLANTED_MODULE = 'tests.planted'
"""Runs a daemon with a defect, for proofs that must then fail."""

CTL_TIMEOUT_S = 40.0


class Kind(enum.Enum):
    """The daemons that run on the system's own VMs."""

    ENTRY = 'entry'
    CONTROLLER = 'controller'
    ADMIN = 'admin'


def arguments(
    deployment: deployments.Deployment, vm: deployments.OwnVm, kind: Kind
) -> list[str]:
    """Give the command line of a daemon, from ``-m`` on."""
    module = f'oleanderwood.{kind.value}'
    common = ['--store', deployment.store, '--platform', deployment.platform]
    region = ['--region', deployment.region]
    match kind:
        case Kind.ENTRY:
            specific = _entry(deployment, vm)
        case Kind.CONTROLLER:
            specific = ['--name', vm.name]
            specific += ['--admin-listen', vm.controller_probes]
            specific += ['--tick-s', '0.5']
        case Kind.ADMIN:
            specific = ['--listen', vm.admin]
            specific += ['--admin-listen', vm.admin_probes]
            specific += ['--data-centre', vm.data_centre]
            specific += ['--fastest-cycle-s', '0.5']
    words = [module, *common, *region, *specific]
    if kind in deployment.planted:
        return [PLANTED_MODULE, deployment.planted[kind], *words]
    return words


def _entry(
    deployment: deployments.Deployment, vm: deployments.OwnVm
) -> list[str]:
    peers = [other.peer for other in deployment.vms if other is not vm]
    return [
        *('--entry-id', vm.name),
        *('--vm', vm.name),
        *('--data-centre', vm.data_centre),
        *('--listen', vm.listen),
        *('--admin-listen', vm.entry_probes),
        *('--peer-listen', vm.peer),
        *('--drain-notice-s', str(DRAIN_NOTICE_S)),
        *[word for peer in peers for word in ('--peer', peer)],
    ]


def start(
    deployment: deployments.Deployment, vm: deployments.OwnVm, kind: Kind
) -> processes.Child:
    """Start one daemon on one VM."""
    name = f'{vm.name}-{kind.value}'
    words = arguments(deployment, vm, kind)
    vm.daemons[kind] = processes.start(deployment.run, name, *words)
    return vm.daemons[kind]


def probes(vm: deployments.OwnVm, kind: Kind) -> ids.Address:
    """Give the address of a daemon's probes."""
    return {
        Kind.ENTRY: vm.entry_probes,
        Kind.CONTROLLER: vm.controller_probes,
        Kind.ADMIN: vm.admin_probes,
    }[kind]


def all_probes(
    deployment: deployments.Deployment,
) -> list[ids.Address]:
    """Give the probe addresses of all daemons that were started."""
    return [probes(vm, kind) for vm in deployment.vms for kind in vm.daemons]


async def start_all(deployment: deployments.Deployment) -> None:
    """Start all daemons, apply the file, and wait until all are ready.

    :raises processes.StartFailed: they don't come up, or the file isn't
        accepted
    """
    size = deployment.size
    counts = {
        Kind.ENTRY: size.entries,
        Kind.ADMIN: size.admins,
        Kind.CONTROLLER: size.controllers,
    }
    for kind, count in counts.items():
        for vm in deployment.vms[:count]:
            start(deployment, vm, kind)
    admins = [vm.admin_probes for vm in deployment.vms[: size.admins]]
    await deployments.until_ready(deployment.run, admins)
    await deployments.until_alive(
        deployment.run,
        [vm.entry_probes for vm in deployment.vms[: size.entries]],
    )
    answer = await ctl(deployment, 'apply', str(deployment.file))
    if answer.status:
        raise processes.StartFailed(f'apply: {answer}')
    await deployments.until_ready(deployment.run, all_probes(deployment))
    await until_serving(deployment)


async def until_serving(
    deployment: deployments.Deployment,
    timeout_s: float = deployments.READY_TIMEOUT_S,
) -> float:
    """Wait until all pools have their VMs and the balancer its entries.

    :returns: how long it took
    :raises processes.StartFailed: it isn't so in time
    """
    start_s = time.monotonic()
    while time.monotonic() - start_s < timeout_s:
        with contextlib.suppress(errors.CallFailed):
            if await _serves(deployment):
                return time.monotonic() - start_s
        await curio.sleep(deployments.POLL_S)
    raise processes.StartFailed('the pools were not filled in time')


async def _serves(deployment: deployments.Deployment) -> bool:
    answer = await http_client.call(deployment.balancer, 'GET', '/entries')
    if len(json.loads(answer.body)) < len(deployment.vms):
        return False
    writes = await evidence.fetch_log(deployment.store, evidence.StoreWrite)
    up = serving(writes)
    if any(up[p.name] < p.size for p in deployment.whole.pools):
        return False
    return await _all_routes_answer(deployment)


async def _all_routes_answer(deployment: deployments.Deployment) -> bool:
    """Say whether each entry sends requests of each service on."""
    team = deployment.whole.teams[0].name.encode()
    for vm in deployment.vms:
        for service in deployment.whole.services:
            answer = await http_client.call(
                vm.listen,
                'GET',
                f'{service.path_prefix}/ready',
                headers=[(b'oleander-team', team)],
            )
            if answer.status not in (200, 404):
                return False
    return True


def serving(
    writes: list[evidence.StoreWrite],
) -> collections.Counter[str]:
    """Count the VMs that serve each pool, by the store's last writes."""
    fleet = evidence.Fleet()
    for _, _, fleet in evidence.fleets(writes):
        pass
    return collections.Counter(
        row.pool
        for rows in fleet.shards.values()
        for row in rows.values()
        if row.state == evidence.SERVING
    )


class Answer(typing.NamedTuple):
    """How a call of the command line ended."""

    status: int
    output: str
    errors: str

    def json(self) -> typing.Any:
        """Decode its output."""
        return json.loads(self.output)


async def ctl(
    deployment: deployments.Deployment, *words: str, json_output: bool = True
) -> Answer:
    """Run ``oleanderctl`` against the deployment's administration API.

    A call that takes too long is ended; its status is -9.
    """
    admins = [vm.admin for vm in deployment.vms if Kind.ADMIN in vm.daemons]
    command = [sys.executable, '-m', 'oleanderwood.ctl', *words]
    for address in admins:
        command += ['--admin', address]
    command += ['--timeout-s', '15']
    if json_output:
        command.append('--json')
    child = curio.subprocess.Popen(
        command,
        stdin=curio.subprocess.DEVNULL,
        stdout=curio.subprocess.PIPE,
        stderr=curio.subprocess.PIPE,
    )
    try:
        async with curio.timeout_after(CTL_TIMEOUT_S):
            output, errors = await child.communicate()
    except curio.TaskTimeout:
        return Answer(-9, '', 'took too long')
    finally:
        if child.poll() is None:
            child.kill()
            await child.wait()
    return Answer(child.returncode, output.decode(), errors.decode())


async def apply_marker(
    deployment: deployments.Deployment, markers: marker.Markers
) -> Answer:
    """Apply the file with the marker's next route."""
    text = deployment.file.read_text()
    marked = marker.mark(text, deployment.whole, markers)
    file = (
        deployment.run.directory / f'{deployment.name}-{markers.newest}.toml'
    )
    file.write_text(marked)
    return await ctl(deployment, 'apply', str(file))


async def start_wave(deployment: deployments.Deployment, wave: str) -> Answer:
    """Start a wave, or let a paused one go on."""
    return await ctl(deployment, 'wave', 'start', wave)
