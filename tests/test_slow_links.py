"""A new leader on a machine with a slow link reads what lies in the store.

What users saw: a small fleet whose servers have links of 2 Mbit/s was left
without a leader for the rest of the day once the first one had stopped: hardly
a job was served, and long-running tasks lapsed. Order of events: the next
leader reads jobs and progress, which takes 2.4 s; it gives up after 1.5 s; so
does the next one, and every one after that. Cause: the time for an answer
counted for all of it, though it kept arriving.
"""

import curio
import pytest

from emulator import servers
from oleanderwood import errors
from oleanderwood.platform import transport
from oleanderwood.web import connections
from tests import utils_takeover as build

PIECES = 5
PIECE = b'x' * 100
HEAD = b'HTTP/1.1 200 OK\r\ncontent-length: 500\r\n\r\n'
TIMEOUT_S = 0.3


async def _call(pauses_s, whole_s):
    """Call a server that pauses before each piece of its answer."""
    listening = curio.socket.socket()
    listening.bind(('127.0.0.1', 0))
    listening.listen(1)
    host, port = listening.getsockname()

    async def serve():
        client, _address = await listening.accept()
        await client.recv(1000)
        await client.sendall(HEAD)
        for pause_s in pauses_s:
            await curio.sleep(pause_s)
            await client.sendall(PIECE)
        await client.recv(1)

    serving = await curio.spawn(serve)
    try:
        return await transport.call(
            connections.Connections(),
            f'{host}:{port}',
            'GET',
            '/',
            timeout_s=TIMEOUT_S,
            whole_s=whole_s,
        )
    finally:
        await serving.cancel()
        await listening.close()


def test_answer_that_keeps_arriving_is_read_whole():
    pauses_s = [TIMEOUT_S / 2] * PIECES
    answer = curio.run(_call, pauses_s, 20.0)
    assert answer.body == PIECE * PIECES


@pytest.mark.parametrize(
    ('pauses_s', 'whole_s'),
    [
        ([TIMEOUT_S / 2] * PIECES, 0.0),
        ([0.0, 0.0, 5.0, 0.0, 0.0], 20.0),
        ([TIMEOUT_S / 2] * PIECES, TIMEOUT_S),
    ],
    ids=['late as a whole', 'stalled', 'longer than it may take'],
)
def test_answer_that_stops_or_takes_too_long_fails(pauses_s, whole_s):
    with pytest.raises(errors.Unanswered):
        curio.run(_call, pauses_s, whole_s)


def test_new_leader_reads_jobs_once():
    """Twice the bytes are twice the time without a renewal of its lease."""
    read = []

    async def story(scene):
        earlier = build.leader(scene)
        handler = scene.network.handlers[servers.STORE_ADDRESS]

        async def note(source, method, target, *rest):
            if 'kv-range' in target and 'ow%2Fin' in target:
                read.append(source)
            return await handler(source, method, target, *rest)

        scene.network.handlers[servers.STORE_ADDRESS] = note
        await build.submit_job(scene, earlier, build.step(1, 1000, 300))
        earlier.state.stopping = True
        await curio.sleep(2.0)
        await build.submit_job(
            scene, build.leader(scene), build.step(1, 1000, 300)
        )

    result = build.play(story)
    assert not result.breaches and not result.unfinished
    assert len(read) == 1
