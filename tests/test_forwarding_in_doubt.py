"""Answers to calls that were forwarded to more than one server.

A server whose configuration is too old has another server answer a call. If
that one is silent, the call may be carried out there later, and the next
server is asked. Its refusal was returned as it was: callers were told that a
job was not accepted, and the job ran once the silent server woke.
"""

import json

import curio
import pytest

from emulator import servers as emulated
from emulator import store as stores
from emulator import virtual
from oleanderwood.frontend import admitting
from oleanderwood.frontend import forwarding
from oleanderwood.operators import explain
from oleanderwood.platform import transport
from tests import utils_admitting as admission
from tests import utils_logs as logs
from tests import utils_tenants as build

KEY = build.FIRST

LATE_S = 12.0
"""Time by which the emulated network has carried out a late call."""

RETRY_S = 1.0
"""Time after which callers retry."""


class Forwarding:
    """A server that forwards, one that is silent, and one that answers.

    :ivar sender: the server that forwards
    :ivar silent: the leader, which is asked first
    :ivar next: the server that is asked after it
    """

    def __init__(self, world, rows) -> None:
        self.world = world
        self.silent = admission.leading(rows)
        self.sender, self.next = [
            row for row in rows if row is not self.silent
        ]

    async def begin(self, is_late: bool = True) -> None:
        """Let the first server forward, and the leader be silent.

        :param is_late: the leader carries the calls out later
        """
        build.cut(self.world, self.sender)
        await curio.sleep(build.CUT_OFF_S)
        address = self.silent.address
        if is_late:
            self.world.network.late_share[address] = 1.0
        else:
            del self.world.network.handlers[address]

    async def status(self, method='POST', process=None) -> int:
        """Make a call, and return its status."""
        return await build.status(
            self.world, process or self.sender, method, key=KEY
        )

    def is_stored(self) -> bool:
        return admission.is_stored(self.world)


def _run(main):
    async def play(world, rows):
        return await main(Forwarding(world, rows))

    return build.run(play)


async def _refuse_for_load(forward):
    """429: the pool is full."""
    await admission.tell(forward.world, forward.next)


async def _refuse_key(forward):
    """401: a newer configuration has revoked the key."""
    left = build.TENANTS[1:]
    await build.configure(forward.world, *left, version=8)
    await curio.sleep(0.5)


async def _refuse_queue(forward):
    """404: a newer configuration lacks the queue."""
    value = json.loads(build.configuration(*build.TENANTS, version=8))
    value['routes'] = [
        row for row in value['routes'] if row['prefix'] != build.PATH
    ]
    await stores.put(
        forward.world.store, 'op/config', json.dumps(value).encode()
    )
    await curio.sleep(0.5)


async def _refuse_for_store(forward):
    """503: the store refuses the write of the job."""
    address = emulated.STORE_ADDRESS
    handler = forward.world.network.handlers[address]

    async def handle(source, method, target, body, headers):
        if build.JOB.encode() in body:
            return transport.Answer(503, b'')
        return await handler(source, method, target, body, headers)

    forward.world.network.handlers[address] = handle


REFUSALS = {
    'load': _refuse_for_load,
    'key': _refuse_key,
    'queue': _refuse_queue,
    'store': _refuse_for_store,
}


@pytest.mark.parametrize('refuse', REFUSALS.values(), ids=REFUSALS)
def test_refusal_after_a_silent_server_is_in_doubt(refuse):
    """Callers must not be told "not run" while a server may run the call."""

    async def main(forward):
        await forward.begin()
        await refuse(forward)
        began_s = await curio.clock()
        status = await forward.status()
        return status, await curio.clock() - began_s

    status, took_s = _run(main)
    assert status == 504
    assert took_s < forwarding.PEER_TIMEOUT_S + 0.8


@pytest.mark.parametrize('refuse', REFUSALS.values(), ids=REFUSALS)
def test_refusal_stays_a_refusal_if_no_server_was_silent(refuse):
    """An unreachable server runs nothing, so its turn leaves no doubt."""

    async def main(forward):
        await forward.begin(is_late=False)
        await refuse(forward)
        status = await forward.status()
        await curio.sleep(LATE_S)
        return status, forward.is_stored()

    status, is_stored = _run(main)
    assert status in (401, 404, 429, 503) and not is_stored


def test_job_in_doubt_runs_and_was_not_refused():
    """The silent server stores the job that the next one refused."""

    async def main(forward):
        await forward.begin()
        await _refuse_for_load(forward)
        status = await forward.status()
        before = forward.is_stored()
        await curio.sleep(LATE_S)
        return status, before, forward.is_stored()

    assert _run(main) == (504, False, True)


@pytest.mark.parametrize('method', ('POST', 'GET', 'DELETE'))
def test_success_after_a_silent_server_is_returned(method):
    """A success is certain: the call has the same effect twice as once."""

    async def main(forward):
        await forward.begin()
        if method != 'POST':
            await forward.status('POST', forward.next)
        return await forward.status(method)

    assert _run(main) == 200


def test_unknown_job_after_a_silent_server_stays_unknown():
    """A read leaves no doubt, and a cancel of no job has the same effect."""

    async def main(forward):
        await forward.begin()
        return await forward.status('GET'), await forward.status('DELETE')

    assert _run(main) == (410, 410)


def test_read_that_no_server_answers_may_be_retried_at_once():
    """A read has no effect, so it is refused and not in doubt."""

    async def main(forward):
        await forward.begin()
        forward.world.network.late_share[forward.next.address] = 1.0
        return await forward.status('GET')

    assert _run(main) == 503


def test_retry_at_the_forwarding_server_is_not_refused():
    """Its own doubt outlives the call: the retry isn't told "not run"."""

    async def main(forward):
        await forward.begin()
        await _refuse_for_load(forward)
        status = await forward.status()
        forward.world.network.cuts.clear()
        await curio.sleep(RETRY_S)
        await admission.tell(forward.world, forward.sender)
        task = await curio.current_task()
        task.process = forward.sender.name
        again = await forward.status()
        task.process = virtual.WORLD
        await curio.sleep(LATE_S)
        return status, again, forward.is_stored()

    assert admitting.LATE_WRITE_S > RETRY_S
    assert _run(main) == (504, 200, True)


def test_explain_tells_the_doubt_and_not_the_refusal():
    """The next server's log names a refusal that no caller got."""
    rows = [
        logs.row(1.0, 'caller', 'forward-unanswered', job='j'),
        logs.not_admitted(1.1, 'over-share'),
        logs.row(
            1.2,
            'caller',
            'passed-on',
            job='j',
            method='POST',
            verdict='may-have-run',
        ),
    ]
    assert explain.explain(rows, 'j').cause is explain.Cause.IN_DOUBT
