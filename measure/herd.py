"""Access to ``python -m measure.herd``: what is asked of the store at worst.

Runs one deployment of a region at the design size over the store's
stand-in, which counts the calls that reach it, and looks at these moments:
rest, a configuration change, a wave, all daemons restarted at once, the
store down and back.
"""

import dataclasses
import sys
import time
import typing

import curio
import cyclopts
import msgspec

from demo import daemons
from demo import deployments
from demo import processes
from measure import slope_files
from measure import table
from oleanderwood import errors
from oleanderwood import http_client
from standins import tally

REST_S = 6.0
WAVE_S = 8.0
AFTER_S = 6.0
"""How long calls are counted on after a moment's end."""

FILLING_TIMEOUT_S = 60.0
REGIONS = 2
SHARE = 1 / 3
"""Of the store's rates; no peak should pass it."""

WRITES_PER_S = 300.0
"""The least that "several hundred" can mean."""

READS_PER_S = 2000.0
REQUEST_PAUSE_S = 0.05

CLASSES = {
    'reads': ('get', 'watch'),
    'watches begun': ('watch',),
    'writes and lease calls': ('put', 'delete', 'grant', 'renew'),
    'lease calls': ('grant', 'renew'),
}

app = cyclopts.App(name='herd', help='Measure what the store is asked.')


@dataclasses.dataclass
class Asked:
    """Requests through the entries.

    :ivar statuses: counts by status, 0 for no answer
    """

    statuses: dict[int, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class Moment:
    """A span of time and its own figures; times are monotonic."""

    name: str
    start_s: float
    end_s: float = 0.0
    figures: list[table.Figure] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True)
class Standing:
    """What shows that all daemons stand: the members' leases, the term."""

    leases: frozenset[str]
    term: int


def peak(
    bins: list[tally.Bin], start_s: float, end_s: float, size: bool = False
) -> int:
    """Give the most calls, or bytes, within any second of a span."""
    width = round(1 / tally.BIN_S)
    first = round(start_s / tally.BIN_S)
    totals = [0] * (round(end_s / tally.BIN_S) - first + 1)
    for one in bins:
        number = round(one.at_s / tally.BIN_S) - first
        if 0 <= number < len(totals):
            totals[number] += one.size_bytes if size else one.calls
    return max(
        sum(totals[number : number + width]) for number in range(len(totals))
    )


def figures(bins: list[tally.Bin], moment: Moment) -> list[table.Figure]:
    """Sum up the calls of a moment, by class."""
    span_s = moment.end_s - moment.start_s
    chosen = [b for b in bins if moment.start_s <= b.at_s < moment.end_s]
    found = []
    peaks = {}
    for name, kinds in CLASSES.items():
        of_class = [b for b in chosen if b.kind in kinds]
        calls = sum(b.calls for b in of_class)
        peaks[name] = peak(of_class, moment.start_s, moment.end_s)
        found.append(table.figure(f'{name}', [calls]))
        found.append(table.figure(f'{name}/s', [calls / span_s]))
        found.append(table.figure(f'{name}/s, peak', [peaks[name]]))
    size_bytes = sum(b.size_bytes for b in chosen)
    most = peak(chosen, moment.start_s, moment.end_s, size=True)
    watching = waiting(bins, moment)
    found.append(table.figure('bytes', [size_bytes]))
    found.append(table.figure('bytes/s, peak', [most]))
    found.append(table.figure('waiting watches, most', [watching]))
    reads = peaks['reads'] + watching
    writes = peaks['writes and lease calls']
    found.append(_of_regions('reads and waiting', reads, READS_PER_S))
    found.append(_of_regions('writes and leases', writes, WRITES_PER_S))
    return found


def waiting(bins: list[tally.Bin], moment: Moment) -> int:
    """Give the most watches that waited in a moment.

    Bins without calls say nothing, so the last one before counts as well.
    """
    watches = [b for b in bins if b.kind == 'watch']
    before = [b for b in watches if b.at_s < moment.start_s]
    during = [b for b in watches if moment.start_s <= b.at_s < moment.end_s]
    return max((b.waiting for b in before[-1:] + during), default=0)


def _of_regions(name: str, value: int, rate: float) -> table.Figure:
    value *= REGIONS
    goal = rate * SHARE
    return table.figure(
        f'{REGIONS} regions: {name}/s, peak',
        [value],
        f'<= {goal:.0f}',
        value <= goal,
    )


def rows(
    bins: list[tally.Bin], moments: list[Moment], size: str
) -> list[table.Row]:
    """Give a row for each moment."""
    return [
        table.Row(
            'herd',
            size,
            moment.name,
            1,
            (*moment.figures, *figures(bins, moment)),
        )
        for moment in moments
    ]


async def measure(
    run: processes.Run, entries: int, vms: int, outage_s: float
) -> tuple[list[tally.Bin], list[Moment]]:
    """Run all moments on one deployment.

    :raises processes.StartFailed: the deployment doesn't come up, or not
        again
    """
    shape = slope_files.Shape(
        vms=vms,
        pools=max(1, round(vms * 0.26)),
        teams=max(1, round(vms * 0.29)),
        entries=entries,
        data_centres=len(slope_files.DATA_CENTRES),
    )
    file = run.directory / 'herd.toml'
    file.write_text(slope_files.text(shape, 0))
    size = deployments.Size(entries, controllers=entries, admins=entries)
    deployment = await deployments.start(run, 'herd', file, size, 0)
    moments: list[Moment] = []
    await _timed(moments, 'first start', _start(deployment))
    await curio.sleep(REST_S)
    await _timed(moments, 'at rest', curio.sleep(REST_S))
    await _timed(moments, 'one change', _change(deployment, shape, 1))
    await curio.sleep(1.0)
    await _timed(moments, 'wave over 4 VMs', _wave(deployment))
    await _restart(deployment, moments)
    await _outage(deployment, shape, outage_s, moments)
    answer = await http_client.call(
        deployment.store, 'GET', '/counts/bins', timeout_s=20.0
    )
    return msgspec.json.decode(answer.body, type=list[tally.Bin]), moments


async def _timed(
    moments: list[Moment], name: str, work: typing.Coroutine
) -> Moment:
    moment = Moment(name, time.monotonic())
    await work
    moment.end_s = time.monotonic()
    moments.append(moment)
    took_s = moment.end_s - moment.start_s
    print(f'{name}: {took_s:.1f} s', file=sys.stderr, flush=True)
    return moment


async def _start(deployment: deployments.Deployment) -> None:
    for vm in deployment.vms:
        for kind in daemons.Kind:
            daemons.start(deployment, vm, kind)
    await deployments.until_alive(
        deployment.run, daemons.all_probes(deployment), FILLING_TIMEOUT_S
    )
    answer = await daemons.ctl(deployment, 'apply', str(deployment.file))
    if answer.status:
        raise processes.StartFailed(f'apply: {answer}')
    await deployments.until_ready(
        deployment.run, daemons.all_probes(deployment), FILLING_TIMEOUT_S
    )
    await daemons.until_serving(deployment, FILLING_TIMEOUT_S)


async def _change(
    deployment: deployments.Deployment,
    shape: slope_files.Shape,
    change: int,
) -> None:
    file = deployment.file.with_suffix(f'.{change}.toml')
    file.write_text(slope_files.text(shape, change))
    answer = await daemons.ctl(deployment, 'apply', str(file))
    if answer.status:
        raise processes.StartFailed(f'apply: {answer}')


async def _wave(deployment: deployments.Deployment) -> None:
    answer = await daemons.start_wave(deployment, 'w')
    if answer.status:
        raise processes.StartFailed(f'wave: {answer}')
    await curio.sleep(WAVE_S)


async def _restart(
    deployment: deployments.Deployment, moments: list[Moment]
) -> None:
    """Kill all daemons, start them all, and wait until they stand."""
    children = [
        child for vm in deployment.vms for child in vm.daemons.values()
    ]
    for child in children:
        processes.kill(child)

    async def start() -> None:
        for child in children:
            processes.restart(child)
        await _until_whole(deployment)

    moment = await _timed(moments, 'all restarted', start())
    took_s = moment.end_s - moment.start_s
    await curio.sleep(AFTER_S)
    moment.end_s = time.monotonic()
    moment.figures.append(table.figure('s until all stand', [took_s]))


async def _outage(
    deployment: deployments.Deployment,
    shape: slope_files.Shape,
    outage_s: float,
    moments: list[Moment],
) -> None:
    """Take the store down and back, while requests go on."""
    asked = Asked()
    earlier = await _stand(deployment)
    asking = await curio.spawn(_ask, deployment, asked)
    await deployments.set_faults(deployment.store, down=True)
    down = await _timed(moments, 'store down', curio.sleep(outage_s))
    await deployments.set_faults(deployment.store)
    back = await _timed(
        moments, 'store back', _until_whole(deployment, earlier)
    )
    took_s = back.end_s - back.start_s
    back.figures.append(table.figure('s until all stand', [took_s]))
    await _change(deployment, shape, 2)
    took_s = time.monotonic() - back.start_s
    back.figures.append(table.figure('s until a change is in force', [took_s]))
    left_s = AFTER_S - took_s
    await curio.sleep(max(0.0, left_s))
    back.end_s = time.monotonic()
    await asking.cancel()
    good = asked.statuses.get(200, 0)
    other = sum(asked.statuses.values()) - good
    down.figures.append(table.figure('requests answered 200', [good]))
    down.figures.append(
        table.figure('requests with another end', [other], '0', not other)
    )
    print(f'requests: {asked.statuses}', file=sys.stderr)


async def _ask(deployment: deployments.Deployment, asked: Asked) -> None:
    """Ask through each entry in turn, until cancelled."""
    headers = [
        (b'oleander-team', deployment.whole.teams[0].name.encode()),
        (b'caller-nonce', b'herd'),
    ]
    while True:
        for vm in deployment.vms:
            status = 0
            try:
                answer = await http_client.call(
                    vm.listen, 'GET', '/s0/x', headers=headers
                )
                status = answer.status
            except errors.CallFailed:
                pass
            asked.statuses[status] = asked.statuses.get(status, 0) + 1
            await curio.sleep(REQUEST_PAUSE_S)


async def _until_whole(
    deployment: deployments.Deployment, earlier: Standing | None = None
) -> None:
    """Wait until each entry holds its lease and a controller leads.

    :param earlier: leases and term that have lapsed
    :raises processes.StartFailed: it isn't so in time
    """
    end_s = time.monotonic() + FILLING_TIMEOUT_S
    while time.monotonic() < end_s:
        found = await _stand(deployment)
        if found is not None and _renewed(found, earlier):
            return
        await curio.sleep(deployments.POLL_S)
    raise processes.StartFailed('not all daemons stand again')


def _renewed(found: Standing, earlier: Standing | None) -> bool:
    if earlier is None:
        return True
    return found.term > earlier.term and not found.leases & earlier.leases


async def _stand(deployment: deployments.Deployment) -> Standing | None:
    """Give the leases and the term; None if a daemon doesn't stand."""
    terms = []
    leases = set()
    for probes in daemons.all_probes(deployment):
        if not await deployments.ready(probes):
            return None
    for vm in deployment.vms:
        dump = await _dump(daemons.probes(vm, daemons.Kind.ENTRY))
        member = dump['membership']
        if not member['lease'] or not member['granted']:
            return None
        leases.add(member['lease'])
        dump = await _dump(daemons.probes(vm, daemons.Kind.CONTROLLER))
        if 'term' in dump.get('leader', {}):
            terms.append(dump['leader']['term'])
    if len(terms) != 1:
        return None
    return Standing(frozenset(leases), terms[0])


async def _dump(probes: str) -> dict[str, typing.Any]:
    try:
        answer = await http_client.call(probes, 'GET', '/dump')
    except errors.CallFailed as error:
        raise processes.StartFailed(f'{probes}: {error}') from error
    return msgspec.json.decode(answer.body)


@app.default
def main(
    *,
    entries: int = 8,
    vms: int = 1000,
    outage_s: float = 40.0,
    json: typing.Annotated[bool, cyclopts.Parameter(negative='')] = False,
) -> None:
    """Print what the store is asked, for each moment.

    :param entries: own VMs; each runs an entry, a controller and the
        administration API
    :param vms: VMs of the region; pools and teams grow with them
    :param outage_s: how long the store is down
    :param json: print the rows as JSON after the table
    """
    start_s = time.monotonic()
    with processes.running() as run:
        bins, moments = curio.run(measure, run, entries, vms, outage_s)
    found = rows(bins, moments, f'{entries} entries, {vms} VMs')
    print(table.text(found))
    if json:
        sys.stdout.write(msgspec.json.encode(found).decode() + '\n')
    print(f'herd: {time.monotonic() - start_s:.0f} s')


if __name__ == '__main__':
    app()
