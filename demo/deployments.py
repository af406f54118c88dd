"""Access to a whole deployment on loopback: stand-ins and daemons.

A deployment is one user's: an operators' file, a platform with a VM list
to match, and the system's own VMs, each with its daemons.
"""

import collections.abc
import dataclasses
import enum
import pathlib
import time

import curio
import msgspec

from demo import processes
from oleanderwood import codec
from oleanderwood import configuration
from oleanderwood import errors
from oleanderwood import http_client
from oleanderwood import ids
from oleanderwood import platform_api
from standins import balancer
from standins import faults

FILES = {
    'klapa': pathlib.Path('examples/klapa.toml'),
    'ascensia': pathlib.Path('examples/ascensia.toml'),
}
WAVE = 'rehearsal'
WAVE_TEXT = """
[[waves]]
name = '{wave}'
pools = [{pools}]
action = 'reboot'
deadline_s = 600.0
"""
VMS_OF_RACK = 4
SPARES_OF_DATA_CENTRE = 2
READY_TIMEOUT_S = 30.0
POLL_S = 0.1


@dataclasses.dataclass(frozen=True)
class Size:
    """How large a deployment is.

    :ivar entries: VMs of the system's own
    :ivar controllers: how many of them run a controller as well
    :ivar admins: how many of them run the administration API as well
    """

    entries: int = 6
    controllers: int = 3
    admins: int = 2
    drain_s: float = 0.2
    reboot_s: float = 1.0


@dataclasses.dataclass
class OwnVm:
    """One VM of the system's own, with its daemons' addresses."""

    name: str
    data_centre: ids.DataCentre
    listen: ids.Address
    peer: ids.Address
    entry_probes: ids.Address
    controller_probes: ids.Address
    admin: ids.Address
    admin_probes: ids.Address
    daemons: dict[enum.Enum, processes.Child] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass
class Deployment:
    """A running deployment.

    :ivar upstreams: the control address of the upstreams
    :ivar callers: the balancer's address for callers
    :ivar balancer: the balancer's control address
    :ivar planted: defects by kind of daemon, for proofs that must fail
    """

    name: str
    run: processes.Run
    file: pathlib.Path
    whole: configuration.Configuration
    size: Size
    ip: str
    store: ids.Address = ids.Address('')
    platform: ids.Address = ids.Address('')
    upstreams: ids.Address = ids.Address('')
    callers: ids.Address = ids.Address('')
    balancer: ids.Address = ids.Address('')
    vms: list[OwnVm] = dataclasses.field(default_factory=list)
    planted: dict[enum.Enum, str] = dataclasses.field(default_factory=dict)

    @property
    def region(self) -> ids.Region:
        """The region of its first pool; users of today have one."""
        return ids.Region(self.whole.pools[0].region)


def data_centres(whole: configuration.Configuration) -> list[str]:
    """Give the data centres of a configuration, sorted."""
    return sorted({dc for pool in whole.pools for dc in pool.data_centres})


def vm_places(whole: configuration.Configuration) -> dict[str, str]:
    """Give the data centre of each upstream VM that the pools want."""
    places = data_centres(whole)
    wanted = sum(pool.size for pool in whole.pools)
    each = -(-wanted // len(places)) + SPARES_OF_DATA_CENTRE
    return {
        f'{place}-vm-{number:02}': place
        for place in places
        for number in range(1, each + 1)
    }


def file_with_wave(
    run: processes.Run, name: str, pools: int | None = None
) -> pathlib.Path:
    """Copy a user's example, with a wave that may run at any hour.

    :param pools: how many pools it goes through, None for all
    """
    text = FILES[name].read_text()
    names = [pool.name for pool in configuration.parse(text).pools[:pools]]
    quoted = ', '.join(f"'{pool}'" for pool in names)
    file = run.directory / f'{name}.toml'
    file.write_text(text + WAVE_TEXT.format(wave=WAVE, pools=quoted))
    return file


async def start(
    run: processes.Run, name: str, file: pathlib.Path, size: Size, number: int
) -> Deployment:
    """Start the stand-ins of a deployment, and lay out its own VMs.

    :param number: of the deployment in the run, from 0
    """
    whole = configuration.parse(file.read_text())
    ip = processes.host(number)
    deployment = Deployment(name, run, file, whole, size, ip)
    await _start_upstreams(deployment)
    await _start_platform(deployment)
    store = _standin(deployment, 'store')
    deployment.store = await _address(store)
    front = _standin(deployment, 'balancer', '--control', f'{ip}:0')
    lines = await processes.first_lines(front, 2)
    deployment.callers, deployment.balancer = map(ids.Address, lines)
    deployment.vms = list(_own_vms(deployment))
    await _tell_balancer(deployment)
    return deployment


def _standin(
    deployment: Deployment, kind: str, *arguments: str
) -> processes.Child:
    listen = ('--listen', f'{deployment.ip}:0')
    return processes.start(
        deployment.run,
        f'{deployment.name}-{kind}',
        f'standins.{kind}',
        *listen,
        *arguments,
    )


async def _address(child: processes.Child) -> ids.Address:
    return ids.Address((await processes.first_lines(child))[0])


async def _start_upstreams(deployment: Deployment) -> None:
    names = ','.join(vm_places(deployment.whole))
    child = _standin(deployment, 'upstream', '--vms', names)
    deployment.upstreams = await _address(child)


async def _start_platform(deployment: Deployment) -> None:
    child = _standin(
        deployment,
        'platform',
        '--upstream',
        deployment.upstreams,
        '--drain-s',
        str(deployment.size.drain_s),
        '--reboot-s',
        str(deployment.size.reboot_s),
    )
    deployment.platform = await _address(child)
    answer = await http_client.call(deployment.upstreams, 'GET', '/vms')
    addresses = msgspec.json.decode(answer.body, type=dict[str, str])
    listing = platform_api.VmListing(1, tuple(_rows(deployment, addresses)))
    await post(deployment.platform, '/fleet', listing)


def _rows(
    deployment: Deployment, addresses: dict[str, str]
) -> collections.abc.Iterator[platform_api.ListedVm]:
    cores = 64.0 if deployment.name == 'klapa' else 16.0
    for vm, place in vm_places(deployment.whole).items():
        number = int(vm.rpartition('-')[2]) - 1
        yield platform_api.ListedVm(
            vm=ids.VmId(vm),
            region=deployment.region,
            data_centre=ids.DataCentre(place),
            rack=ids.Rack(f'{place}-rack-{number // VMS_OF_RACK + 1}'),
            address=ids.Address(addresses[vm]),
            cores=cores,
            memory_gib=cores * 4,
        )


def _own_vms(deployment: Deployment) -> collections.abc.Iterator[OwnVm]:
    places = data_centres(deployment.whole)
    for number in range(deployment.size.entries):
        addresses = [processes.free_address(deployment.ip) for _ in range(6)]
        yield OwnVm(
            f'{deployment.name}-own-{number + 1}',
            ids.DataCentre(places[number % len(places)]),
            *addresses,
        )


async def _tell_balancer(deployment: Deployment) -> None:
    entries = [
        balancer.Entry(vm.name, vm.listen, vm.entry_probes)
        for vm in deployment.vms
    ]
    await post(deployment.balancer, '/entries', entries)


async def post(address: ids.Address, target: str, value: object) -> None:
    """Post a JSON value to a stand-in."""
    body = codec.to_json(value)
    answer = await http_client.call(address, 'POST', target, body)
    if answer.status >= 300:
        raise processes.StartFailed(f'{target}: {answer.status}')


async def set_faults(address: ids.Address, **values: object) -> None:
    """Switch a stand-in's faults; those not named are switched off."""
    await post(address, '/faults', faults.Faults(**values))


async def ready(probes: ids.Address) -> bool:
    """Say whether a daemon tells that it is ready."""
    try:
        answer = await http_client.call(
            probes, 'GET', '/readyz', timeout_s=1.0
        )
    except errors.CallFailed:
        return False
    return answer.status == 200


async def alive(probes: ids.Address) -> bool:
    """Say whether a daemon answers its probes."""
    try:
        await http_client.call(probes, 'GET', '/healthz', timeout_s=1.0)
    except errors.CallFailed:
        return False
    return True


async def until_alive(
    run: processes.Run,
    all_probes: collections.abc.Iterable[ids.Address],
    timeout_s: float = READY_TIMEOUT_S,
) -> float:
    """Wait until daemons answer; give how long it took.

    :raises processes.StartFailed: not all do in time
    """
    return await _until(run, alive, all_probes, timeout_s)


async def until_ready(
    run: processes.Run,
    all_probes: collections.abc.Iterable[ids.Address],
    timeout_s: float = READY_TIMEOUT_S,
) -> float:
    """Wait until daemons are ready; give how long it took.

    :raises processes.StartFailed: not all are in time
    """
    return await _until(run, ready, all_probes, timeout_s)


async def _until(
    run: processes.Run,
    holds: collections.abc.Callable,
    all_probes: collections.abc.Iterable[ids.Address],
    timeout_s: float,
) -> float:
    start_s = time.monotonic()
    waiting = list(all_probes)
    while waiting:
        if time.monotonic() - start_s > timeout_s:
            names = ', '.join(waiting)
            raise processes.StartFailed(f'not {holds.__name__}: {names}')
        for child in processes.crashed(run):
            reason = processes.tail(child)
            raise processes.StartFailed(f'{child.name} ended:\n{reason}')
        if await holds(waiting[0]):
            waiting.pop(0)
        else:
            await curio.sleep(POLL_S)
    return time.monotonic() - start_s
