"""Builders of configurations with tenants, and of their callers."""

import json
import random

import curio

from emulator import callers as callers_
from emulator import day
from emulator import evidence as evidences
from emulator import executors
from emulator import fleet as fleets
from emulator import servers
from emulator import store as stores
from oleanderwood.frontend import handler as handlers
from oleanderwood import server as product
from oleanderwood.web import http
from tests import utils_servers as build

JOB = 'a' * 16
OTHER_JOB = 'b' * 16
FIRST, SECOND = 'key-of-the-first', 'key-of-the-second'

PATH = '/drafts/'
OPEN_PATH = '/finals/'

CUT_OFF_S = 3.5
"""Time after which a server without the store trusts no key any more."""


def tenant(name: str, *keys: str, cpu: int = 0, **fields) -> dict:
    """Build a tenant as the operator writes it."""
    limit = {'cpu': cpu, 'mem_mb': 0, 'gpu': 0}
    row = {
        'name': name,
        'api_keys': list(keys),
        'priority': 1,
        'weight': 5,
        'max_count': limit,
    }
    return {**row, **fields}


TENANTS = (tenant('first', FIRST), tenant('second', SECOND))


def configuration(*tenants: dict, version: int = 7, **fields) -> bytes:
    """Build a configuration: a queue that asks for keys, and a public one."""
    value = json.loads(day.configuration())
    for route in value['routes']:
        route['public'] = route['prefix'] == OPEN_PATH
    value['tenants'] = list(tenants)
    return json.dumps({**value, 'version': version, **fields}).encode()


def body(tasks: int = 1, **step) -> bytes:
    """Build a job of one step."""
    row = {'count': tasks, 'cpu': 100, 'estimate_ms': 500, **step}
    return json.dumps({'spec': 'x', 'phases': [row]}).encode()


async def ask(world, process, method, path=PATH + JOB, key=None, data=None):
    """Call a server as a caller does; gives the whole answer."""
    handler = world.network.handlers[process.callers]
    headers = {'host': callers_.HOST}
    if key is not None:
        headers['authorization'] = f'Token {key}'
    if data is None:
        data = body() if method == 'POST' else b''
    return await handler('c', method, path, data, headers)


async def status(world, process, method, path=PATH + JOB, key=None) -> int:
    """Call a server; gives the answer's status."""
    return (await ask(world, process, method, path, key)).status


def slow_body_handler(process: servers.Process, pause_s: float):
    """Make a call whose body comes after a pause; gives its status."""
    frontend = product.make_frontend(process.state)
    handler = handlers.make_handler(frontend)

    async def call(key: str) -> int:
        async def read() -> bytes:
            await curio.sleep(pause_s)
            return b''

        headers = [
            (b'host', callers_.HOST.encode()),
            (b'authorization', b'Token ' + key.encode()),
        ]
        request = http.Request('GET', PATH, headers, http.Body(read))
        return (await handler(request)).status

    return call


async def three_servers(world) -> list[servers.Process]:
    """Start three servers, of which one comes to lead."""
    rows = [await build.start(world, f's{number}') for number in range(3)]
    await curio.sleep(4.0)
    return rows


async def machines(world) -> fleets.Fleet:
    """Start the machines of a small day beside the servers."""
    rng = random.Random(1)
    evidence = evidences.Evidence()
    executing = executors.World(evidence, world.store, rng)
    executing.jobs = {
        job: {**json.loads(body(8, cpu=1000, mem_mb=100)), 'service': 'drafts'}
        for job in (JOB, OTHER_JOB)
    }
    fleet = fleets.Fleet(executing, world.network)
    world.network.handlers[servers.MACHINES_ADDRESS] = fleets.make_handler(
        fleet
    )
    await day.build_fleet(fleet, day.Plan(1, machines_a_pool=2))
    return fleet


async def configure(world, *tenants: dict, version: int, **fields) -> None:
    """Let the operator write a configuration."""
    value = configuration(*tenants, version=version, **fields)
    await stores.put(world.store, 'op/config', value)


def follower(rows: list[servers.Process]) -> servers.Process:
    """Give a server that doesn't lead."""
    return next(row for row in rows if row.state.leader is None)


def cut(world, *processes: servers.Process) -> None:
    """Cut servers off the store, without a word."""
    for process in processes:
        world.network.cuts.add((process.name, servers.STORE_ADDRESS))


def run(main, *tenants: dict):
    """Run ``main(world, servers)`` beside three servers."""

    async def play(world):
        return await main(world, await three_servers(world))

    return build.run(play, configuration(*(tenants or TENANTS)))
