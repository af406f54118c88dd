"""Measure the request path: rate, added latency, memory.

    python -m measure.entry_speed [--seconds S] [--profile FILE]

Runs a trivial upstream, the request path without its control side, and the
load tool, each as a process of its own. The upstream is also called
directly, in turns with the entry, to give the latency that the entry adds.
"""

import cProfile
import pstats
import random
import subprocess
import sys
import time

import curio
import cyclopts
import h11
import msgspec
import prometheus_client

from oleanderwood import codec
from oleanderwood import configuration
from oleanderwood import daemon
from oleanderwood import fleet
from oleanderwood import http
from oleanderwood import http_client
from oleanderwood import http_server
from oleanderwood import ids
from oleanderwood import load
from oleanderwood import permissions
from oleanderwood import proxy as proxies
from oleanderwood import tickets
from oleanderwood import upstreams

TEAM = 'measure'
ANSWER = b'x' * 128
UPSTREAMS = 4
MANY_CONNECTIONS = 1000
LARGE_BODY_BYTES = 256 << 20
ROUNDS = 3
WARM_UP_S = 1.0

APP = cyclopts.App(result_action='return_value')


@APP.command
def upstream() -> None:
    """Serve small answers on several ports, printed on one line."""

    async def answer(request: http.Request) -> http.Response:
        if request.method == 'POST':
            return http.Response(200, [], request.body)
        return http.Response(200, [], ANSWER)

    async def serve() -> None:
        servers = [
            http_server.listen(ids.Address('127.0.0.1:0'), answer)
            for _ in range(UPSTREAMS)
        ]
        print(' '.join(server.address for server in servers), flush=True)
        async with curio.TaskGroup() as group:
            for server in servers:
                await group.spawn(http_server.run, server)

    curio.run(serve)


@APP.command
def entry(*addresses: str, profile: str = '') -> None:
    """Serve the request path in front of some upstreams."""
    profiler = cProfile.Profile() if profile else None
    if profiler:
        profiler.enable()
    curio.run(_entry, addresses)
    if profiler:
        profiler.disable()
        with open(profile, 'w') as file:
            stats = pstats.Stats(profiler, stream=file)
            stats.sort_stats('tottime').print_stats(200)


async def _entry(addresses: tuple[str, ...]) -> None:
    proxy = proxies.create(
        ids.EntryId('e'),
        '1',
        ids.DataCentre('a'),
        permissions.Permissions(
            may_send=lambda vm, epoch, now_s: True,
            begin=lambda vm, epoch: None,
            end=lambda vm, epoch: None,
        ),
        prometheus_client.CollectorRegistry(),
        random.Random(1),
    )
    upstreams.take_over(proxy, _facts(addresses), time.monotonic())
    server = http_server.listen(
        ids.Address('127.0.0.1:0'), proxies.make_handler(proxy)
    )
    print(server.address, flush=True)
    await curio.spawn(http_server.run, server, daemon=True)
    await curio.spawn(tickets.run, proxy.tickets, daemon=True)
    await daemon.until_stopped()


def _facts(addresses: tuple[str, ...]) -> upstreams.Facts:
    rows = tuple(
        fleet.VmRow(
            vm=ids.VmId(f'vm-{number}'),
            pool=ids.PoolId('p'),
            state=fleet.VmState.SERVING,
            epoch=ids.Epoch(1),
            rack=ids.Rack('r'),
            address=ids.Address(address),
        )
        for number, address in enumerate(addresses)
    )
    pool = configuration.Pool(
        name='p',
        service='s',
        region='r',
        data_centres=('a',),
        size=len(rows),
        min_up=0,
    )
    return upstreams.Facts(
        content=configuration.Configuration(
            pools=(pool,),
            services=(
                configuration.Service(
                    name='s', path_prefix='/s', slots=16, idempotent=True
                ),
            ),
            teams=(configuration.Team(name=TEAM, requests_per_s=1e6),),
        ),
        region=ids.Region('r'),
        entries={ids.EntryId('e'): ids.DataCentre('a')},
        data_centres={row.vm: ids.DataCentre('a') for row in rows},
        serving=lambda pool: rows,
    )


def _spawn(*arguments: str) -> tuple[subprocess.Popen, list[str]]:
    process = subprocess.Popen(
        [sys.executable, '-m', 'measure.entry_speed', *arguments],
        stdout=subprocess.PIPE,
        text=True,
    )
    return process, process.stdout.readline().split()


def _load(address: str, **plan: object) -> load.Summary:
    flags = []
    for name, value in plan.items():
        flags += [f'--{name.replace("_", "-")}', str(value)]
    done = subprocess.run(
        [
            sys.executable,
            '-m',
            'oleanderwood.load',
            '--address',
            address,
            '--target',
            '/s',
            '--team',
            TEAM,
            '--warm-up-s',
            str(WARM_UP_S),
            '--json',
            *flags,
        ],
        stdout=subprocess.PIPE,
        check=True,
    )
    return codec.from_json(done.stdout, load.Summary)


class Usage(msgspec.Struct, frozen=True):
    """What a process used so far."""

    cpu_s: float
    resident_mb: float


def _usage(pid: int) -> Usage:
    with open(f'/proc/{pid}/stat') as file:
        fields = file.read().rpartition(')')[2].split()
    with open(f'/proc/{pid}/status') as file:
        line = next(line for line in file if line.startswith('VmRSS'))
    return Usage(
        (int(fields[11]) + int(fields[12])) / 100,
        int(line.split()[1]) / 1024,
    )


def _saturate(name: str, address: str, pid: int, seconds: float) -> float:
    before = _usage(pid)
    began_s = time.monotonic()
    summary = _load(address, connections=32, seconds=seconds)
    cpu_s = _usage(pid).cpu_s - before.cpu_s
    share = cpu_s / (time.monotonic() - began_s)
    sent = summary.answers_per_s * (seconds + WARM_UP_S)
    print(f'{name}: closed loop, 32 connections: {load.text(summary)}')
    print(
        f'{name}: used {share:.0%} of a core, '
        f'{cpu_s / sent * 1e6:.0f} us of processor time a request'
    )
    return summary.answers_per_s


def _compare(direct: str, through: str, rate: float, seconds: float) -> None:
    rounds = []
    for number in range(ROUNDS):
        plan = {'rate_per_s': rate, 'seconds': seconds, 'seed': number}
        straight = _load(direct, connections=64, **plan)
        entry = _load(through, connections=64, **plan)
        print(f'direct: {load.text(straight)}')
        print(f'entry:  {load.text(entry)}')
        rounds.append(
            (entry.p50_ms - straight.p50_ms, entry.p99_ms - straight.p99_ms)
        )
    p50 = sorted(p50 for p50, _ in rounds)
    p99 = sorted(p99 for _, p99 in rounds)
    middle = ROUNDS // 2
    print(
        f'added at {rate:.0f}/s, median of {ROUNDS} rounds: '
        f'p50 {p50[middle]:.2f} ms ({p50[0]:.2f} to {p50[-1]:.2f}), '
        f'p99 {p99[middle]:.2f} ms ({p99[0]:.2f} to {p99[-1]:.2f})'
    )


async def _hold(address: str, pid: int) -> None:
    """Open many connections that each made one request, and keep them."""
    held = []
    idle = _usage(pid).resident_mb
    for _ in range(MANY_CONNECTIONS):
        connection = await http_client.connect(ids.Address(address), 5.0)
        response = await http_client.exchange(
            connection,
            'GET',
            '/s',
            [(b'host', b'a'), (b'oleander-team', TEAM.encode())],
        )
        await http.read_all(response.body, 1 << 20)
        held.append(connection)
    full = _usage(pid).resident_mb
    print(
        f'entry: resident {idle:.1f} MB before, {full:.1f} MB with '
        f'{MANY_CONNECTIONS} open connections'
    )
    for connection in held:
        await http.close(connection.sock)


async def _stream(address: str, pid: int) -> None:
    """Send a large body to an upstream that sends it back."""
    before = _usage(pid).resident_mb
    connection = await http_client.connect(ids.Address(address), 5.0)
    headers = [
        (b'host', b'a'),
        (b'oleander-team', TEAM.encode()),
        (b'transfer-encoding', b'chunked'),
    ]
    request = h11.Request(method='POST', target='/s', headers=headers)
    began_s = time.monotonic()
    await http_client.send_events(connection, request)
    upload = await curio.spawn(_upload, connection)
    response = await http_client.read_head(connection)
    size_bytes = 0
    highest = before
    async for piece in response.body:
        size_bytes += len(piece)
        highest = max(highest, _usage(pid).resident_mb)
    await upload.join()
    took_s = time.monotonic() - began_s
    await http.close(connection.sock)
    print(
        f'entry: {size_bytes >> 20} MiB there and back in {took_s:.1f} s, '
        f'resident {before:.1f} MB before, {highest:.1f} MB at most'
    )


async def _upload(connection: http_client.Connection) -> None:
    piece = bytes(1 << 16)
    for _ in range(LARGE_BODY_BYTES >> 16):
        await http_client.send_events(connection, h11.Data(data=piece))
    await http_client.send_events(connection, h11.EndOfMessage())


@APP.default
def measure(*, seconds: float = 4.0, profile: str = '') -> None:
    """Measure, and print the figures.

    :param seconds: of each load
    :param profile: file for the entry's profile, which slows it
    """
    started = []
    try:
        served, addresses = _spawn('upstream')
        started.append(served)
        flags = ['--profile', profile] if profile else []
        path, (through,) = _spawn('entry', *addresses, *flags)
        started.append(path)
        print(f'entry: resident {_usage(path.pid).resident_mb:.1f} MB idle')
        curio.run(_hold, through, path.pid)
        curio.run(_stream, through, path.pid)
        _saturate('direct', addresses[0], served.pid, seconds)
        rate = _saturate('entry', through, path.pid, seconds)
        if not profile:
            _compare(addresses[0], through, rate / 2, seconds)
        print(f'entry: resident {_usage(path.pid).resident_mb:.1f} MB at last')
    finally:
        for process in started:
            process.terminate()
            process.wait()


if __name__ == '__main__':
    APP()
