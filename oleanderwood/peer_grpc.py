"""Access to the calls between the system's processes over gRPC.

The only module that knows gRPC. Its threads hand requests to curio through
a queue and wait for the answer; client calls hand their outcome back
through a result that curio waits for.
"""

import collections
import concurrent.futures
import dataclasses
import logging
import typing

import curio
import grpc
import msgspec

from oleanderwood import codec
from oleanderwood import errors
from oleanderwood import ids
from oleanderwood import peer
from oleanderwood import traffic
from oleanderwood import verdict as verdicts

LOG = logging.getLogger('peer')

SERVICE = 'oleanderwood.Peer'
THREADS = 2
MAX_CALLS = 32
"""Calls that a server takes at once; it refuses more."""

ANSWER_S = 5.0
"""How long a thread waits for an answer; callers gave up before."""

KEPT_CHANNELS = 64
STOP_GRACE_S = 0.5

_OPTIONS = [
    ('grpc.enable_http_proxy', 0),
    ('grpc.so_reuseport', 0),
    ('grpc.min_reconnect_backoff_ms', 500),
    ('grpc.initial_reconnect_backoff_ms', 200),
    ('grpc.max_reconnect_backoff_ms', 2000),
    ('grpc.max_receive_message_length', 16 << 20),
]

_NOT_CONNECTED = 'failed to connect'
"""Part of gRPC's words for a call that never left this process."""


@dataclasses.dataclass(frozen=True)
class _Incoming:
    """A call that waits for curio; ``answer`` takes the reply's bytes."""

    method: str
    request: bytes
    answer: concurrent.futures.Future


@dataclasses.dataclass
class Server:
    """A server of peer calls.

    :ivar address: the address it listens on, its port resolved
    """

    address: ids.Address
    grpc_server: grpc.Server
    incoming: curio.UniversalQueue
    count: traffic.Count


@dataclasses.dataclass
class Client:
    """Channels to peers, the one used last at the end."""

    count: traffic.Count = traffic.uncounted
    channels: collections.OrderedDict[ids.Address, grpc.Channel] = (
        dataclasses.field(default_factory=collections.OrderedDict)
    )


def listen(
    address: ids.Address, count: traffic.Count = traffic.uncounted
) -> Server:
    """Listen for peer calls; :func:`run` answers them.

    :raises OSError: the address can't be bound
    """
    incoming = curio.UniversalQueue()
    threads = concurrent.futures.ThreadPoolExecutor(
        THREADS, thread_name_prefix='peer'
    )
    server = grpc.server(
        threads, options=_OPTIONS, maximum_concurrent_rpcs=MAX_CALLS
    )
    handlers = {
        method.name: grpc.unary_unary_rpc_method_handler(
            _hand_over(incoming, method.name)
        )
        for method in peer.METHODS
    }
    generic = grpc.method_handlers_generic_handler(SERVICE, handlers)
    server.add_generic_rpc_handlers((generic,))
    host = address.rpartition(':')[0]
    try:
        port = server.add_insecure_port(address)
    except RuntimeError as error:
        raise OSError(f'{address} can not be bound: {error}') from error
    server.start()
    bound = ids.Address(f'{host}:{port}')
    return Server(bound, server, incoming, count)


def _hand_over(incoming: curio.UniversalQueue, name: str) -> typing.Any:
    """Make a method's behaviour, which runs in a thread of gRPC."""

    def behaviour(request: bytes, context: grpc.ServicerContext) -> bytes:
        answer: concurrent.futures.Future = concurrent.futures.Future()
        incoming.put(_Incoming(name, request, answer))
        try:
            return answer.result(ANSWER_S)
        except concurrent.futures.TimeoutError:
            context.abort(grpc.StatusCode.DEADLINE_EXCEEDED, 'no answer')
        except concurrent.futures.CancelledError:
            context.abort(grpc.StatusCode.UNAVAILABLE, 'stopping')
        except errors.BadMessage as error:
            context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))

    return behaviour


async def run(server: Server, handlers: dict[str, peer.Handler]) -> None:
    """Answer calls until cancelled.

    :param handlers: by the method's name; all of ``peer.METHODS``
    """
    methods = {method.name: method for method in peer.METHODS}
    async with curio.TaskGroup(wait=all) as group:
        while True:
            call = await server.incoming.get()
            method = methods[call.method]
            handler = handlers[call.method]
            # As daemons: a group keeps other tasks that have ended.
            await group.spawn(
                _answer, server, call, method, handler, daemon=True
            )


async def _answer(
    server: Server,
    call: _Incoming,
    method: peer.Method,
    handler: peer.Handler,
) -> None:
    try:
        request = _unpacked(call.request, method.request)
        reply = codec.pack_message(await handler(request))
    except curio.TaskCancelled:
        call.answer.cancel()
        raise
    except errors.BadMessage as error:
        call.answer.set_exception(error)
    except Exception as error:
        LOG.exception('Answering %s failed.', method.name)
        call.answer.set_exception(error)
    else:
        _count(server.count, len(reply), len(call.request))
        call.answer.set_result(reply)


def _unpacked(data: bytes, kind: type) -> typing.Any:
    try:
        return codec.unpack_message(data, kind)
    except msgspec.MsgspecError as error:
        raise errors.BadMessage(400, f'{kind.__name__}: {error}') from error


def _count(count: traffic.Count, sent_bytes: int, received_bytes: int) -> None:
    overhead_bytes = traffic.RPC_OVERHEAD_BYTES
    count(sent_bytes + overhead_bytes, received_bytes + overhead_bytes)


async def stop(server: Server) -> None:
    """Stop listening; calls in progress get a moment to end."""
    stopped = server.grpc_server.stop(STOP_GRACE_S)
    await curio.run_in_thread(stopped.wait)


def connect(count: traffic.Count = traffic.uncounted) -> Client:
    """Make a client; channels open when needed.

    :param count: told of the bytes of each call
    """
    return Client(count)


def close(client: Client) -> None:
    """Close all channels."""
    while client.channels:
        _, channel = client.channels.popitem()
        channel.close()


def calls(client: Client) -> peer.Peers:
    """Give the calls to peers."""
    made = {method.name: _call(client, method) for method in peer.METHODS}
    return peer.Peers(**made)


def _call(client: Client, method: peer.Method) -> peer.Call:
    path = f'/{SERVICE}/{method.name}'

    async def call(address: ids.Address, request: typing.Any) -> typing.Any:
        send = _channel(client, address).unary_unary(path)
        data = codec.pack_message(request)
        try:
            reply = await curio.run_in_thread(send, data, method.timeout_s)
            return _unpacked(reply, method.reply)
        except grpc.RpcError as error:
            raise errors.CallFailed(
                _verdict(error), f'{method.name} at {address}: {error.code()}'
            ) from error
        except errors.BadMessage as error:
            raise errors.CallFailed(
                verdicts.Verdict.RAN, f'{method.name} at {address}: {error}'
            ) from error

    return call


def _verdict(error: grpc.RpcError) -> verdicts.Verdict:
    """Say what is known of a call that failed."""
    code = error.code()
    if code is grpc.StatusCode.UNIMPLEMENTED:
        return verdicts.Verdict.NOT_RUN
    words = error.details() or ''
    if code is grpc.StatusCode.UNAVAILABLE and _NOT_CONNECTED in words:
        return verdicts.Verdict.NOT_RUN
    return verdicts.Verdict.MAY_HAVE_RUN


def _channel(client: Client, address: ids.Address) -> grpc.Channel:
    channel = client.channels.get(address)
    if channel is None:
        channel = grpc.insecure_channel(address, options=_OPTIONS)
        client.channels[address] = channel
    client.channels.move_to_end(address)
    if len(client.channels) > KEPT_CHANNELS:
        _, oldest = client.channels.popitem(last=False)
        oldest.close()
    return channel
