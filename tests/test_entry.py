"""Tests of the whole entry daemon."""

import os
import signal

import curio
import pytest

from oleanderwood import codec
from oleanderwood import entry as entries
from oleanderwood import entry_parts
from oleanderwood import errors
from oleanderwood import fleet
from oleanderwood import http
from oleanderwood import http_client
from oleanderwood import roster
from oleanderwood import store
from oleanderwood import store_http
from oleanderwood import verdict as verdicts
from tests import utils_daemon as daemons
from tests import utils_entry as utils


async def answer(request):
    return http.Response(200, [], b'whole')


async def read_roster(store_address):
    item = await store_http.connect([store_address]).get(store.ROSTER_KEY)
    return codec.unpack(item.value, roster.Roster)


def test_requests_are_served_and_shown():
    async def use(entry, store_address):
        response = await daemons.get(entry)
        dump = entry_parts.dump(entry)
        codec.to_json(dump)
        return response.body, dump, await read_roster(store_address)

    body, dump, members = daemons.run(answer, use)
    assert body == b'whole'
    assert dump['request_path']['services'] == ['s']
    assert dump['request_path']['upstreams'].keys() == {'vm-0'}
    assert [member.entry for member in members.members] == ['e1']


def test_planned_stop_cuts_nothing_in_flight():
    begun = []

    async def slow(request):
        begun.append(request.target)
        await curio.sleep(0.8)
        return http.Response(200, [], b'whole')

    async def use(entry, store_address):
        call = await curio.spawn(daemons.get, entry, '/s/1')
        await daemons.until(lambda: begun)
        os.kill(os.getpid(), signal.SIGTERM)
        await daemons.until(lambda: entry_parts.ready(entry) == 'stopping')
        late = await daemons.get(entry, '/s/2')
        early = await call.join()
        await daemons.until(lambda: not entry.server.connections)
        refused = None
        try:
            await daemons.get(entry)
        except errors.CallFailed as error:
            refused = error.verdict
        while members := (await read_roster(store_address)).members:
            await curio.sleep(0.01)
        return early, late, refused, members

    early, late, refused, members = daemons.run(slow, use)
    assert (early.status, early.body) == (200, b'whole')
    assert (late.status, late.body) == (200, b'whole')
    assert late.header('connection') == 'close'
    assert refused is verdicts.Verdict.NOT_RUN
    assert members == ()


def test_leaving_upstream_gets_no_new_work():
    served = []

    async def count(request):
        served.append(request.target)
        return http.Response(200, [], b'')

    async def use(entry, store_address):
        before = await daemons.get(entry)
        (row,) = entry.proxy.rows.values()
        leaving = fleet.VmRow(
            row.vm,
            row.pool,
            fleet.VmState.RELEASING,
            row.epoch + 1,
            row.rack,
            row.address,
        )
        await daemons.put_shard(store_address, 2, [leaving])
        await daemons.until(lambda: not entry.proxy.rows)
        return before, await daemons.get(entry)

    before, after = daemons.run(count, use)
    assert (before.status, after.status) == (200, 503)
    assert after.header('oleander-verdict') == 'not-run'
    assert len(served) == 1


async def lose_contact(entry):
    """Let the entry be as one that was cut off for as long as allowed."""
    await entry.following.cancel()
    entry.node.view.contact_s = -1e9


def test_streams_end_cut_once_contact_is_long_lost():
    """One that was half answered, and one that wasn't answered at all."""
    begun = []

    async def slow(request):
        begun.append(request.target)
        if request.target == '/s/silent':
            await curio.sleep(100)

        async def pieces():
            yield b'half'
            await curio.sleep(100)

        return http.Response(200, [], pieces())

    async def use(entry, store_address):
        silent = await curio.spawn(daemons.get, entry, '/s/silent')
        connection = await http_client.connect(entry.server.address, 1.0)
        headers = utils.team_headers((b'host', b'a'))
        half = await http_client.exchange(connection, 'GET', '/s/h', headers)
        await daemons.until(lambda: len(begun) == 2)
        await lose_contact(entry)
        with pytest.raises(errors.CallFailed) as caught:
            async with curio.timeout_after(3.0):
                await http.read_all(half.body, 100)
        await http.close(connection.sock)
        in_flight = entry.node.view.grants.in_flight
        await daemons.until(lambda: not in_flight)
        return caught.value.verdict, await silent.join()

    verdict, silent = daemons.run(slow, use)
    assert verdict is verdicts.Verdict.MAY_HAVE_RUN
    assert silent.status == 502
    assert silent.header('oleander-verdict') == 'may-have-run'


def test_kept_connection_is_told_of_the_stop():
    async def use(entry, store_address):
        connection = await http_client.connect(entry.server.address, 1.0)
        heads = []
        for _ in range(2):
            response = await http_client.exchange(
                connection,
                'GET',
                '/s',
                utils.team_headers((b'host', b'a')),
            )
            await http.read_all(response.body, 100)
            heads.append(response.header('connection'))
            if len(heads) == 1:
                os.kill(os.getpid(), signal.SIGTERM)
                await daemons.until(lambda: entry.server.closing)
        await http.close(connection.sock)
        return heads

    assert daemons.run(answer, use) == [None, 'close']


def test_breaches_of_the_dispatcher_are_reported_once():
    async def use(entry, store_address):
        entry.proxy.tickets.state.breaches['second start'] += 2
        found = entry.proxy.path.invariants
        await daemons.until(lambda: found.count)
        entry_parts.report_breaches(entry)
        return list(found.recent)

    found = daemons.run(answer, use)
    assert found == [('second-start', 'dispatcher')] * 2


def test_stop_that_leaves_a_request_is_reported():
    async def use(entry, store_address):
        in_flight = entry.node.view.grants.in_flight
        entries._check_drained(entry)
        in_flight['vm-0', 3] += 1
        entries._check_drained(entry)
        in_flight.clear()
        return list(entry.proxy.path.invariants.recent)

    found = daemons.run(answer, use)
    assert found == [
        ('stop-cuts-nothing', '0 requests left, 1 in flight'),
    ]
