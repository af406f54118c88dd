"""Tests that revoked keys stop working in time at every server.

A server judged keys by its last configuration, however old, and had no way to
detect its age. So a server that the store refused went on accepting a key
after an operator had revoked it: these calls got 200 long after the revocation
time.
"""

import curio
import pytest

from emulator import servers
from emulator import store as stores
from oleanderwood.frontend import forwarding
from oleanderwood.frontend import freshness
from tests import utils_servers
from tests import utils_tenants as build

REVOCATION_S = 5.0
"""Time after which no server may accept a revoked key."""

LEFT = build.TENANTS[1:]


async def _served_for_s(world, process, key, path=build.PATH):
    """Return for how long calls with a key keep succeeding."""
    began_s = await curio.clock()
    last_s = 0.0
    while (at_s := await curio.clock() - began_s) < 2 * REVOCATION_S:
        if await build.status(world, process, 'GET', path, key) == 200:
            last_s = at_s
        await curio.sleep(0.05)
    return last_s


def test_key_stops_at_once_with_a_working_watch():
    async def main(world, rows):
        await build.configure(world, *LEFT, version=8)
        return [
            await _served_for_s(world, row, build.FIRST) for row in rows[:1]
        ]

    assert max(build.run(main)) < 1.0


FAULTS = {
    'cut': lambda world, row: build.cut(world, row),
    'refused': lambda world, row: world.store.refused.add(row.name),
}


@pytest.mark.parametrize('inject', FAULTS.values(), ids=FAULTS)
def test_key_stops_in_time_at_a_server_without_the_store(inject):
    async def main(world, rows):
        row = build.follower(rows)
        inject(world, row)
        await build.configure(world, *LEFT, version=8)
        return await _served_for_s(world, row, build.FIRST)

    assert build.run(main) < REVOCATION_S


def test_key_stops_in_time_while_the_store_is_down():
    async def main(world, rows):
        await build.configure(world, *LEFT, version=8)
        world.store.down = 'silent'
        times = [await _served_for_s(world, rows[0], build.FIRST)]
        return times

    assert max(build.run(main)) < REVOCATION_S


def test_renewed_lease_proves_nothing_without_watch_events():
    async def main(world, rows):
        row = build.follower(rows)
        address = servers.STORE_ADDRESS
        handler = world.network.handlers[address]

        async def without_watch(source, method, target, body, headers):
            if source == row.name and 'op%2Fconfig' in target:
                await curio.sleep(1000.0)
            if source == row.name and 'op/config' in target:
                await curio.sleep(1000.0)
            return await handler(source, method, target, body, headers)

        world.network.handlers[address] = without_watch
        await build.configure(world, *LEFT, version=8)
        for other in rows:
            if other is not row:
                # No other server can check its keys either.
                other.state.configuration_readable = False
                other.state.configuration_confirmed_s = -1e9
        last_s = await _served_for_s(world, row, build.FIRST)
        return last_s, forwarding.is_store_lost(row.state)

    last_s, lost = build.run(main)
    assert last_s < REVOCATION_S and not lost


def test_server_without_the_store_lets_another_judge():
    """Valid keys work with little delay; revoked ones are refused."""

    async def main(world, rows):
        row = build.follower(rows)
        build.cut(world, row)
        await build.configure(world, *LEFT, version=8)
        await curio.sleep(build.CUT_OFF_S)
        began_s = await curio.clock()
        statuses = [
            await build.status(world, row, method, key=key)
            for method in ('POST', 'GET', 'DELETE')
            for key in (build.SECOND, build.FIRST)
        ]
        return statuses, await curio.clock() - began_s

    statuses, took_s = build.run(main)
    assert statuses == [200, 401, 200, 401, 200, 401]
    assert took_s < 0.5


def test_new_key_is_good_at_a_server_without_the_store():
    async def main(world, rows):
        row = build.follower(rows)
        build.cut(world, row)
        added = build.tenant('third', 'key-of-the-third')
        await build.configure(world, *build.TENANTS, added, version=8)
        await curio.sleep(build.CUT_OFF_S)
        return await build.status(world, row, 'POST', key='key-of-the-third')

    assert build.run(main) == 200


def test_call_that_no_server_can_judge_is_refused_at_once_and_not_run():
    async def main(world, rows):
        build.cut(world, *rows)
        await curio.sleep(build.CUT_OFF_S)
        began_s = await curio.clock()
        answer = await build.ask(world, rows[0], 'POST', key=build.FIRST)
        took_s = await curio.clock() - began_s
        world.network.cuts.clear()
        await curio.sleep(5.0)
        exists = f'ow/in/job/{build.JOB}' in world.store.items
        return answer.status, took_s, exists

    status, took_s, exists = build.run(main)
    assert (status, exists) == (503, False)
    assert took_s < 0.1


def test_public_queue_is_served_without_a_recent_reading():
    async def main(world, rows):
        row = build.follower(rows)
        build.cut(world, row)
        await curio.sleep(build.CUT_OFF_S)
        path = build.OPEN_PATH + build.JOB
        return await build.status(world, row, 'POST', path)

    assert build.run(main) == 200


def test_server_with_an_older_configuration_judges_for_nobody():
    """It might accept a key that the forwarding server knows as revoked."""

    async def main(world, rows):
        row = build.follower(rows)
        others = [other for other in rows if other is not row]
        for other in others:
            other.state.configuration_revision -= 1
        build.cut(world, row)
        await curio.sleep(build.CUT_OFF_S)
        return await build.status(world, row, 'GET', build.PATH, build.FIRST)

    assert build.run(main) == 503


def test_key_is_judged_after_the_body_was_read():
    """The key may be revoked while a slow body arrives."""

    async def main(world, rows):
        row = build.follower(rows)
        handler = build.slow_body_handler(row, 2.0)
        task = await curio.spawn(handler, build.FIRST)
        await curio.sleep(0.5)
        await build.configure(world, *LEFT, version=8)
        return await task.join()

    assert build.run(main) == 401


def test_configuration_that_cannot_be_read_ends_the_trust_in_keys():
    """It is unknown which keys the malformed configuration revokes."""

    async def main(world, rows):
        await stores.put(world.store, 'op/config', b'{"version":"x"')
        await curio.sleep(build.CUT_OFF_S)
        return await build.status(world, rows[0], 'GET', key=build.FIRST)

    assert build.run(main) == 503


def test_restarted_server_judges_by_no_older_configuration():
    async def main(world, rows):
        row = build.follower(rows)
        await build.configure(world, *LEFT, version=8)
        await utils_servers.kill(world, row)
        build.cut(world, row)
        await servers.start(world.network, row)
        await curio.sleep(1.0)
        before = await build.status(world, row, 'GET', build.PATH, build.FIRST)
        world.network.cuts.clear()
        await curio.sleep(1.5)
        after = await build.status(world, row, 'GET', build.PATH, build.FIRST)
        return before, after

    assert build.run(main) == (503, 401)


def test_trust_is_counted_from_when_a_reading_was_sent():
    async def main(world, rows):
        server = rows[0].state
        server.configuration_confirmed_s = -1e9
        freshness.record_reading(server, 3.0)
        freshness.record_reading(server, 2.0)
        return server.configuration_confirmed_s

    assert build.run(main) == 3.0


def test_log_names_the_version_that_revoked_a_key(monkeypatch):
    lines = []
    monkeypatch.setattr(
        'oleanderwood.event_log.emit',
        lambda part, event, **fields: lines.append((event, fields)),
    )

    async def main(world, rows):
        await build.configure(world, *LEFT, version=8)
        await curio.sleep(1.5)
        await build.status(world, rows[0], 'GET', key=build.FIRST)

    build.run(main)
    denied = [fields for event, fields in lines if event == 'denied']
    assert denied[0]['why'] == 'a revoked key'
    assert (denied[0]['tenant'], denied[0]['version']) == ('first', 8)
    assert denied[0]['job'] == build.JOB
