"""Builders for tests of the whole entry daemon."""

import os
import signal

import curio

from oleanderwood import codec
from oleanderwood import configuration
from oleanderwood import entry
from oleanderwood import entry_parts
from oleanderwood import fleet
from oleanderwood import http_client
from oleanderwood import http_server
from oleanderwood import ids
from oleanderwood import parts
from oleanderwood import store
from oleanderwood import store_http
from standins import faults
from standins import store as store_standin
from tests import utils_entry


def wanted(store_address, name='e1', **changes):
    """Make the settings of an entry on free ports."""
    free = ids.Address('127.0.0.1:0')
    fields = {
        'entry_id': ids.EntryId(name),
        'listen': free,
        'admin_listen': free,
        'peer_listen': free,
        'region': ids.Region('r'),
        'data_centre': ids.DataCentre('a'),
        'vm': ids.VmId('own-1'),
        'store': (store_address,),
        'platform': None,
        'peers': (),
        'drain_notice_s': 0.3,
        'max_connections': 100,
        **changes,
    }
    return entry_parts.Settings(**fields)


async def write(store_address, key, value):
    """Write a key of the store, whatever is there."""
    kept = store_http.connect([store_address])
    item = await kept.get(key)
    version = store.ABSENT if item is None else item.version
    await kept.swap(key, value, version, f'test-{key}-{version}', None)


async def publish(store_address, rows, served=None):
    """Write a configuration of one service, and the shard of its VMs."""
    content = utils_entry.facts(served or utils_entry.service(), rows).content
    split = parts.split(content)
    references = parts.refer(split, {}, 'apply-1')
    for part, reference in references.items():
        await write(store_address, parts.key(reference), split[part])
    head = configuration.Head(1, 0, references, 'apply-1')
    await write(store_address, store.CONFIG_HEAD_KEY, codec.pack(head))
    await put_shard(store_address, 1, rows)


async def put_shard(store_address, revision, rows):
    """Write the shard of the one data centre."""
    data_centre = ids.DataCentre('a')
    shard = fleet.Shard(data_centre, revision, 1, tuple(rows))
    key = fleet.shard_key(data_centre)
    await write(store_address, key, codec.pack(shard))


async def serve_store(tasks):
    """Run the stand-in of the store; give its address."""
    state = store_standin.State(faults.Control())
    handler = store_standin.handler(state)
    server = http_server.listen(ids.Address('127.0.0.1:0'), handler)
    tasks.append(await curio.spawn(store_standin.lapse, state))
    tasks.append(await curio.spawn(http_server.run, server))
    return server.address


async def serve_upstream(tasks, handler):
    """Run an upstream; give its address."""
    server = http_server.listen(ids.Address('127.0.0.1:0'), handler)
    tasks.append(await curio.spawn(http_server.run, server))
    return server.address


async def until(condition, limit_s=5.0):
    """Wait until a condition holds."""
    async with curio.timeout_after(limit_s):
        while not condition():
            await curio.sleep(0.01)


async def get(running, target='/s', **changes):
    """Call an entry as a member of the team."""
    return await http_client.call(
        running.server.address,
        'GET',
        target,
        headers=utils_entry.team_headers(),
        **changes,
    )


def run(handler, use, **changes):
    """Run a whole entry between a store and one upstream.

    :param use: coroutine function of the entry and the store's address;
        the entry is stopped by SIGTERM after it
    """

    async def main():
        tasks = []
        store_address = await serve_store(tasks)
        upstream = await serve_upstream(tasks, handler)
        await publish(store_address, [utils_entry.row(0, upstream)])
        running = entry_parts.create(wanted(store_address, **changes))
        daemon = await curio.spawn(entry.run, running)
        try:
            await until(lambda: entry_parts.ready(running) == '')
            result = await use(running, store_address)
            os.kill(os.getpid(), signal.SIGTERM)
            await daemon.join()
        finally:
            await daemon.cancel()
            for task in reversed(tasks):
                await task.cancel()
        return result

    numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1)
    earlier = {number: signal.getsignal(number) for number in numbers}
    try:
        return curio.run(main)
    finally:
        for number, handler in earlier.items():
            signal.signal(number, handler)
