"""Requests that a partition holds up are lost once their sender gives up.

A leader that was cut off closed a connection without an answer. The kernel
went on delivering what it had sent, so an order for a machine was carried out
seconds later, under the next leader (rules LIMIT and ONE).
"""

import contextlib
import socket
import subprocess
import sys

import curio
import pytest

from oleanderwood import errors
from oleanderwood.platform import machines as machine_calls
from oleanderwood.platform import transport
from oleanderwood.web import connections
from oleanderwood.web import http
from oleanderwood.web import http_client

CUT_S = 0.3

TIMEOUT_S = 0.1
"""Time-out of the calls, shorter than the cut."""


async def _hold_up(sock, delivered):
    """Take one connection; deliver what was sent unless it is reset."""
    client, _peer = await sock.accept()
    async with client:
        await curio.sleep(CUT_S)
        data = b''
        with contextlib.suppress(ConnectionResetError):
            while piece := await client.recv(65536):
                data += piece
            delivered.append(data)


def _play(send):
    """Return what a partition that ends delivers of a sender's requests."""

    async def main():
        delivered = []
        sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.bind(('127.0.0.1', 0))
        sock.listen(1)
        address = '127.0.0.1:%d' % sock.getsockname()[1]
        holding = await curio.spawn(_hold_up, sock, delivered)
        await send(address)
        await holding.join()
        await sock.close()
        return delivered

    return curio.run(main)


async def _call(address):
    with pytest.raises(errors.Unanswered):
        await transport.call(
            connections.Connections(),
            address,
            'POST',
            '/order',
            b'{}',
            timeout_s=TIMEOUT_S,
        )


async def _cancelled_call(address):
    calls = machine_calls.Machines(address, 's1')
    order = await curio.spawn(machine_calls.move, calls, 'm1', 'drafts', 256)
    await curio.sleep(TIMEOUT_S)
    await order.cancel()


async def _client_call(address):
    with pytest.raises(errors.CallFailed):
        await http_client.call(address, 'POST', '/', timeout_s=TIMEOUT_S)


SEND_AND_STAY = """
import sys
import curio
from oleanderwood.web import http_client

async def main():
    connection = await http_client.connect(sys.argv[1], 1.0)
    request = http_client.buffered_request(
        'POST', '/order', [(b'host', b'a')], b'{}'
    )
    await http_client.send_events(connection, *request)
    print('sent', flush=True)
    await curio.sleep(60.0)

curio.run(main)
"""


async def _killed(address):
    """Kill a process that has sent a request."""
    command = [sys.executable, '-c', SEND_AND_STAY, address]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
        assert process.stdout.readline() == b'sent\n'
        process.kill()


SENDERS = {
    'timed-out': _call,
    'cancelled': _cancelled_call,
    'client': _client_call,
    'killed': _killed,
}


@pytest.mark.parametrize('send', SENDERS.values(), ids=SENDERS)
def test_request_of_a_sender_that_gave_up_is_not_delivered(send):
    """Guards against orders that are carried out under the next leader."""
    assert _play(send) == []


def test_kernel_gives_up_what_is_not_acknowledged():
    """Guards against late orders of a suspended process, which resets none."""

    async def main():
        listener = socket.create_server(('127.0.0.1', 0))
        address = '127.0.0.1:%d' % listener.getsockname()[1]
        connection = await http_client.connect(address, 1.0)
        bound_ms = connection.sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
        )
        await http.close(connection.sock)
        listener.close()
        return bound_ms

    bound_ms = curio.run(main)
    assert 0 < bound_ms <= machine_calls.TIMEOUT_S * 1000
