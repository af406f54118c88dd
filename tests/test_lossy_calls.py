"""When a leader polls busy workers more often.

Observed failure: 1,224 of 1,265 log lines about silent workers were caused by
closed connections, as the previous workers of moving machines close them. A
move ends a worker, and its connection is closed while the leader waits for its
report. The leader treated that as a lost answer and polled each busy worker
seven times a second for eight seconds. With a thousand moves a day it did so
all the time.
"""

import types

import curio
import pytest

from oleanderwood import clock
from oleanderwood import errors
from oleanderwood.leading import leadership_transfer
from oleanderwood.leading import worker_loop
from oleanderwood.platform import transport
from oleanderwood import verdict as verdicts
from oleanderwood.web import connections


def _leader():
    return types.SimpleNamespace(
        lossy_until_s=0.0,
        timer_lateness=leadership_transfer.TimerLateness(),
        calls=types.SimpleNamespace(timeout_s=0.0),
    )


async def _failed_call(silent_s: float) -> errors.CallFailed:
    """Make a call whose connection is closed unanswered after a delay."""
    listening = curio.socket.socket()
    listening.bind(('127.0.0.1', 0))
    listening.listen(1)
    host, port = listening.getsockname()

    async def serve():
        client, _address = await listening.accept()
        await client.recv(1000)
        await curio.sleep(silent_s)
        await client.close()

    serving = await curio.spawn(serve)
    with pytest.raises(errors.CallFailed) as caught:
        await transport.call(
            connections.Connections(),
            f'{host}:{port}',
            'GET',
            '/',
            timeout_s=0.3,
        )
    await serving.cancel()
    await listening.close()
    return caught.value


@pytest.mark.parametrize(('silent_s', 'wary'), [(0.0, False), (5.0, True)])
def test_silence_makes_wary_and_a_closed_connection_does_not(silent_s, wary):
    error = curio.run(_failed_call, silent_s)
    assert error.verdict is verdicts.Verdict.MAY_HAVE_RUN
    leader = _leader()
    worker_loop.note_unanswered(leader, error)
    assert (leader.lossy_until_s > clock.now_s()) is wary


def test_error_of_closed_connection_is_plain():
    error = curio.run(_failed_call, 0.0)
    assert error.reason.endswith('closed before the answer')
