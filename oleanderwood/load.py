"""Access to the load tool: requests in closed or open loop, and latencies.

In closed loop each connection sends its next request once it has the
answer. In open loop requests start at given times whatever the answers do,
and a latency counts from that time, also while no connection is free.
"""

import collections
import collections.abc
import dataclasses
import random
import resource
import time

import curio
import hdrh.histogram
import msgspec

from oleanderwood import codec
from oleanderwood import errors
from oleanderwood import http
from oleanderwood import http_client
from oleanderwood import ids
from oleanderwood import request_headers
from oleanderwood import settings

MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
CONNECT_TIMEOUT_S = 5.0
MAX_ANSWER_BYTES = 1 << 30


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """What to send.

    ``rate_per_s`` is 0 for closed loop.
    """

    address: ids.Address
    target: str = '/'
    method: str = 'GET'
    team: str = ''
    body_bytes: int = 0
    connections: int = 16
    rate_per_s: float = 0.0
    seconds: float = 10.0
    warm_up_s: float = 1.0
    seed: int = 1


@dataclasses.dataclass
class Tally:
    """What came back.

    :ivar from_s: requests that started before aren't counted
    :ivar failures: by status, or by verdict where no answer came
    """

    from_s: float
    until_s: float
    latencies_us: hdrh.histogram.HdrHistogram
    answered: int = 0
    failures: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )


class Summary(msgspec.Struct, frozen=True):
    """A run's figures; times in milliseconds."""

    answered: int
    failed: dict[str, int]
    answers_per_s: float
    p50_ms: float
    p90_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float
    own_cpu_share: float


def arrivals(
    rate_per_s: float, seconds: float, rng: random.Random
) -> collections.abc.Iterator[float]:
    """Give the starts of an open loop: exponential gaps, in seconds."""
    at_s = rng.expovariate(rate_per_s)
    while at_s < seconds:
        yield at_s
        at_s += rng.expovariate(rate_per_s)


async def run(plan: Plan) -> Summary:
    """Send the load and give its figures."""
    began_s = time.monotonic()
    tally = Tally(
        from_s=began_s + plan.warm_up_s,
        until_s=began_s + plan.warm_up_s + plan.seconds,
        latencies_us=hdrh.histogram.HdrHistogram(
            1, MAX_LATENCY_US, SIGNIFICANT_DIGITS
        ),
    )
    cpu_s = _cpu_s()
    if plan.rate_per_s:
        await _open_loop(plan, tally)
    else:
        await _closed_loop(plan, tally)
    share = (_cpu_s() - cpu_s) / (time.monotonic() - began_s)
    return _summary(plan, tally, share)


def _cpu_s() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


async def _closed_loop(plan: Plan, tally: Tally) -> None:
    async def repeat() -> None:
        kept: list[http_client.Connection] = []
        while (now_s := time.monotonic()) < tally.until_s:
            await _request(plan, tally, kept, now_s)
        await _close(kept)

    async with curio.TaskGroup(wait=all) as group:
        for _ in range(plan.connections):
            await group.spawn(repeat)


async def _open_loop(plan: Plan, tally: Tally) -> None:
    kept: list[http_client.Connection] = []
    free = curio.Semaphore(plan.connections)
    left = curio.Semaphore(0)

    async def one(due_s: float) -> None:
        async with free:
            await _request(plan, tally, kept, due_s)
        await left.release()

    count = 0
    began_s = time.monotonic()
    length_s = plan.warm_up_s + plan.seconds
    for at_s in arrivals(plan.rate_per_s, length_s, random.Random(plan.seed)):
        wait_s = began_s + at_s - time.monotonic()
        if wait_s > 0:
            await curio.sleep(wait_s)
        await curio.spawn(one, began_s + at_s, daemon=True)
        count += 1
    for _ in range(count):
        await left.acquire()
    await _close(kept)


async def _close(kept: list[http_client.Connection]) -> None:
    while kept:
        await http.close(kept.pop().sock)


async def _request(
    plan: Plan,
    tally: Tally,
    kept: list[http_client.Connection],
    due_s: float,
) -> None:
    """Make one request, and count it from the time that it was due."""
    connection = None
    try:
        connection = await _connection(plan, kept)
        status = await _exchange(plan, connection)
    except errors.CallFailed as error:
        _count(tally, due_s, error.verdict.value)
    else:
        _count(tally, due_s, str(status) if status >= 300 else '')
    if connection is None:
        return
    if http_client.usable(connection):
        kept.append(connection)
    else:
        await http.close(connection.sock)


async def _connection(
    plan: Plan, kept: list[http_client.Connection]
) -> http_client.Connection:
    while kept:
        connection = kept.pop()
        if http_client.silent(connection):
            return connection
        await http.close(connection.sock)
    return await http_client.connect(plan.address, CONNECT_TIMEOUT_S)


async def _exchange(plan: Plan, connection: http_client.Connection) -> int:
    headers = [(b'host', plan.address.encode('ascii'))]
    if plan.team:
        headers.append((request_headers.TEAM, plan.team.encode('ascii')))
    body = bytes(plan.body_bytes)
    response = await http_client.exchange(
        connection, plan.method, plan.target, headers, body
    )
    piece, ended = http_client.read_buffered(connection)
    if not ended:
        await http.read_all(response.body, MAX_ANSWER_BYTES)
    return response.status


def _count(tally: Tally, due_s: float, failure: str) -> None:
    if not tally.from_s <= due_s < tally.until_s:
        return
    if failure:
        tally.failures[failure] += 1
        return
    tally.answered += 1
    latency_us = (time.monotonic() - due_s) * 1e6
    tally.latencies_us.record_value(min(int(latency_us), MAX_LATENCY_US))


def _summary(plan: Plan, tally: Tally, own_cpu_share: float) -> Summary:
    def at(percent: float) -> float:
        latency_us = tally.latencies_us.get_value_at_percentile(percent)
        return latency_us / 1000

    return Summary(
        answered=tally.answered,
        failed=dict(tally.failures),
        answers_per_s=round(tally.answered / plan.seconds, 1),
        p50_ms=at(50),
        p90_ms=at(90),
        p99_ms=at(99),
        p999_ms=at(99.9),
        max_ms=at(100),
        own_cpu_share=round(own_cpu_share, 2),
    )


def text(summary: Summary) -> str:
    """Give the figures for people."""
    return (
        f'answered={summary.answered} failed={summary.failed or 0} '
        f'rate={summary.answers_per_s:.0f}/s p50={summary.p50_ms:.2f} ms '
        f'p99={summary.p99_ms:.2f} ms p99.9={summary.p999_ms:.2f} ms '
        f'max={summary.max_ms:.2f} ms own_cpu={summary.own_cpu_share:.0%}'
    )


APP = settings.application('oleander-load', 'Send requests, and measure.')


@APP.default
def start(
    *,
    address: str,
    target: str = '/',
    method: str = 'GET',
    team: str = '',
    body_bytes: int = 0,
    connections: int = 16,
    rate_per_s: float = 0.0,
    seconds: float = 10.0,
    warm_up_s: float = 1.0,
    seed: int = 1,
    json: bool = False,
) -> None:
    """Send requests to one address, and print rate and latencies.

    :param address: where to send
    :param target: path and query
    :param method: of each request
    :param team: sent as oleander-team, '' for none
    :param body_bytes: size of each request's body
    :param connections: open at most
    :param rate_per_s: open loop at this rate; 0 for closed loop
    :param seconds: how long is measured
    :param warm_up_s: how long is sent before
    :param seed: of the open loop's gaps
    :param json: print as JSON
    """
    settings.validate(
        [
            settings.address('--address', address),
            settings.between('--connections', connections, 1, 10000),
            settings.between('--rate-per-s', rate_per_s, 0, 1e6),
            settings.between('--seconds', seconds, 0.1, 3600),
            settings.between('--warm-up-s', warm_up_s, 0, 600),
            settings.between('--body-bytes', body_bytes, 0, 1 << 30),
        ]
    )
    plan = Plan(
        address=ids.Address(address),
        target=target,
        method=method,
        team=team,
        body_bytes=body_bytes,
        connections=connections,
        rate_per_s=rate_per_s,
        seconds=seconds,
        warm_up_s=warm_up_s,
        seed=seed,
    )
    summary = curio.run(run, plan)
    print(codec.to_json(summary).decode() if json else text(summary))


def main() -> None:
    """Run the load tool."""
    settings.run(APP)


if __name__ == '__main__':
    main()
