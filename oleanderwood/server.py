"""The server process: takes callers' jobs, and leads if it is its turn."""

import collections.abc
import functools
import os
import signal
import sys
import traceback
import urllib.parse
import uuid

import curio
import msgspec

from oleanderwood import boot
from oleanderwood import clock
from oleanderwood import codec
from oleanderwood import daemon
from oleanderwood import errors
from oleanderwood import event_log
from oleanderwood.frontend import forwarding
from oleanderwood.frontend import freshness
from oleanderwood.frontend import handler as handlers
from oleanderwood.frontend import intake as intakes
from oleanderwood.frontend import peer_client as peer_clients
from oleanderwood.frontend import tombstones
from oleanderwood import ids
from oleanderwood.jobs import model
from oleanderwood.jobs import queues
from oleanderwood.leading import admission_loop
from oleanderwood.leading import confirmation
from oleanderwood.leading import election
from oleanderwood.leading import intake as leading_intake
from oleanderwood.leading import late_orders
from oleanderwood.leading import lease
from oleanderwood.leading import memory_budget
from oleanderwood.leading import roles as roles_
from oleanderwood.leading import state as states
from oleanderwood.leading import term
from oleanderwood.leading import watcher
from oleanderwood.operators import api
from oleanderwood.platform import operator
from oleanderwood.platform import store as stores
from oleanderwood import server_metrics
from oleanderwood.tenants import access
from oleanderwood import verdict as verdicts
from oleanderwood.web import http
from oleanderwood.web import http_server

STOP_RESERVE_S = 0.7
"""Time left before the process would be killed when it cuts what still
goes on."""

END_LEASE_S = 0.15
"""Longest wait for the end of the server's lease; without it the lease ends by
itself in 1.5 s."""

MAX_FAULT_TEXT = 3000
"""Characters of a fault's traceback that are logged."""

MAX_TOLD_BYTES = 1 << 20
"""Largest message on new jobs: a write's worth of them, 5,000 bytes each."""

QUIET_S = 1.5
"""A stopping process ends once it was asked nothing for this long, and the
balancer has had two looks at it, a second apart."""


def main() -> None:
    """Run a server until it is told to stop."""
    path = os.environ.get(boot.PATH_VARIABLE, '')
    try:
        settings = boot.read(path)
    except boot.BadSettings as error:
        event_log.set_up('')
        event_log.emit('server', 'bad-settings', path=path, why=str(error))
        sys.exit(2)
    event_log.set_up(settings.name)
    server = make_server(settings)
    event_log.emit('server', 'starts', process=server.process)
    curio.run(_run, server, path)
    event_log.emit('server', 'ends', process=server.process)


def make_server(settings: boot.Settings) -> states.Server:
    """Make the state of a new life of a server."""
    process = f'{settings.name}/{uuid.uuid4().hex[:12]}'
    return states.Server(
        settings, process, stores.Store(settings.store_address)
    )


def make_frontend(server: states.Server) -> handlers.Frontend:
    """Make what callers' requests are answered from."""
    client = peer_clients.PeerClient(server)

    async def written(jobs: list[model.Job]) -> None:
        await peer_clients.notify_jobs(client, jobs)

    def lost() -> bool:
        return forwarding.is_store_lost(server)

    intake = intakes.Intake(
        server.store,
        server.roles,
        written,
        lost,
        tombstones.Tombstones(server.settings.job_retention_s),
    )
    return handlers.Frontend(server, intake, client)


def make_parts(server: states.Server, frontend: handlers.Frontend) -> list:
    """Give what a server does beside listening and leading."""
    return [
        intakes.write_forever(frontend.intake),
        _follow_configuration(server),
        _follow_roles(server),
        lease.hold_always(server),
        late_orders.probe_always(server),
        late_orders.notify_always(server),
    ]


async def _run(server: states.Server, path: str) -> None:
    settings = server.settings
    frontend = make_frontend(server)
    callers = http_server.listen(
        settings.callers_listen,
        handlers.make_handler(frontend),
        boot.caller_connections(settings),
    )
    ready = http_server.listen(settings.ready_listen, _ready(server))
    inner = http_server.listen(
        boot.inner_address(settings), make_inner_handler(server, frontend)
    )
    serving = await curio.spawn(http_server.run(callers), daemon=True)
    parts = [
        await curio.spawn(part, daemon=True)
        for part in (
            http_server.run(ready),
            http_server.run(inner),
            *map(_until_fault, make_parts(server, frontend)),
            _until_fault(_reload_on_signal(server, path)),
        )
    ]
    elections = await curio.spawn(
        _until_fault(election.run_always(server)), daemon=True
    )
    await daemon.until_stopped()
    await _stop(server, callers, serving, elections)
    for part in parts:
        await part.cancel()


async def _until_fault(part: collections.abc.Awaitable) -> None:
    """End the process at a fault: its next life begins from the store."""
    try:
        await part
    except Exception as error:
        text = ''.join(traceback.format_exception(error))
        event_log.emit('server', 'fault', why=text[-MAX_FAULT_TEXT:])
        raise SystemExit(1) from error


async def _stop(
    server: states.Server,
    callers: http_server.Server,
    serving: curio.Task,
    elections: curio.Task,
) -> None:
    """Hand over, and serve on until callers have gone elsewhere."""
    began_s = clock.now_s()
    event_log.emit('server', 'stops', leads=server.leader is not None)
    server.stopping = True
    http_server.retire(callers)
    callers.cut_answer = handlers.in_doubt('the server stops')
    end_s = began_s + server.settings.stop_time_s - STOP_RESERVE_S
    async with curio.ignore_after(max(0.1, end_s - clock.now_s())):
        await elections.join()
    while clock.now_s() < end_s:
        await curio.sleep(0.1)
        if clock.now_s() - began_s > QUIET_S and not callers.connections:
            break
    async with curio.ignore_after(STOP_RESERVE_S / 2):
        await http_server.stop(callers)
    # What is still in hand is answered before the store is asked once more:
    # a silent one would use up the time that is left.
    await serving.cancel()
    if server.lease:
        await _end_lease(server)


async def _end_lease(server: states.Server) -> None:
    """End the server's lease, so that others know at once that it is gone."""
    try:
        async with curio.timeout_after(END_LEASE_S):
            await stores.end_lease(server.store, server.lease)
    except (errors.CallFailed, curio.TaskTimeout) as error:
        event_log.emit('lease', 'not-ended', why=repr(error))


def _ready(server: states.Server) -> http.Handler:
    async def handle(request: http.Request) -> http.Response:
        if server.stopping:
            return http.Response(503, [], b'stopping\n')
        if server.configuration is None:
            return http.Response(503, [], b'no configuration yet\n')
        if forwarding.is_store_lost(server):
            return http.Response(503, [], b'the store is lost\n')
        return http.Response(200, [], b'ready\n')

    return handle


def make_inner_handler(
    server: states.Server, frontend: handlers.Frontend
) -> http.Handler:
    """Make the handler of what the other servers and operators ask."""
    probes = daemon.probe_handler(
        daemon.Probes(
            lambda: states.dump(server),
            lambda: 'stopping' if server.stopping else '',
            server_metrics.REGISTRY,
        )
    )

    async def handle(request: http.Request) -> http.Response:
        path = request.target
        if path.startswith(api.PREFIX):
            return await api.handle(server, request)
        if path == late_orders.PATH:
            body = await http.read_all(request.body, MAX_TOLD_BYTES)
            await late_orders.receive(server, body)
            return http.Response(200, [], b'')
        if path == admission_loop.PATH:
            body = await http.read_all(request.body, MAX_TOLD_BYTES)
            admission_loop.receive(server, body)
            return http.Response(200, [], b'')
        if path.startswith(confirmation.CONTACT_PATH):
            return _json(await confirmation.answer_contact(server, path))
        if path == forwarding.CALL_PATH:
            body = await http.read_all(request.body, MAX_TOLD_BYTES)
            return _json(await handlers.handle_forwarded_call(frontend, body))
        if path == forwarding.JOB_PATH:
            body = await http.read_all(request.body, MAX_TOLD_BYTES)
            return _json(
                await forwarding.handle_job(server, frontend.intake, body)
            )
        if path.startswith(forwarding.CANCEL_PATH):
            return await _relayed_cancel(server, frontend, request)
        if path == peer_clients.JOBS_PATH:
            return await _told_jobs(server, request)
        if path.startswith(peer_clients.CANCELLED_PATH):
            job = ids.JobId(path.removeprefix(peer_clients.CANCELLED_PATH))
            return await _told_cancel(server, job)
        if path.startswith(
            (
                peer_clients.STATE_PATH,
                peer_clients.PENDING_PATH,
                peer_clients.MEMORY_PATH,
            )
        ):
            return _tell(server, path)
        return await probes(request)

    return handle


async def _relayed_cancel(
    server: states.Server, frontend: handlers.Frontend, request: http.Request
) -> http.Response:
    job = ids.JobId(request.target.removeprefix(forwarding.CANCEL_PATH))
    body = await http.read_all(request.body, MAX_TOLD_BYTES)
    tenant = ids.TenantId(body.decode())
    is_public = request.header(forwarding.PUBLIC_HEADER) is not None
    owner = access.NO_TENANT if is_public else tenant
    result = await forwarding.handle_cancel(
        server, frontend.intake, job, tenant, owner
    )
    if result.verdict is verdicts.Verdict.RAN and result.there:
        # The server that was asked may not know who leads.
        await curio.spawn(
            peer_clients.notify_cancel, frontend.client, job, daemon=True
        )
    return _json(result)


async def _told_jobs(
    server: states.Server, request: http.Request
) -> http.Response:
    body = await http.read_all(request.body, MAX_TOLD_BYTES)
    leader = server.leader
    if leader is None or leader.deposed:
        return http.Response(409, [], b'does not lead\n')
    jobs = codec.decode(body, list[model.Job])
    await leading_intake.add_jobs(leader, jobs)
    return _json(memory_budget.remaining(leader))


async def _told_cancel(server: states.Server, job: ids.JobId) -> http.Response:
    leader = server.leader
    if leader is None or leader.deposed:
        return http.Response(409, [], b'does not lead\n')
    leading_intake.cancel(leader, job)
    await leading_intake.wake_after_intake(leader)
    return http.Response(200, [], b'')


def _tell(server: states.Server, path: str) -> http.Response:
    leader = server.leader
    if leader is None or leader.deposed:
        return http.Response(409, [], b'does not lead\n')
    if path.startswith(peer_clients.STATE_PATH):
        job = ids.JobId(path.removeprefix(peer_clients.STATE_PATH))
        return _json(peer_clients.answer_state(leader, job))
    if path.startswith(peer_clients.MEMORY_PATH):
        job, _, size = path.removeprefix(peer_clients.MEMORY_PATH).partition(
            '/'
        )
        if not size.isdecimal():
            return http.Response(400, [], b'no size\n')
        return _json(memory_budget.reserve(leader, ids.JobId(job), int(size)))
    queue = urllib.parse.unquote(path.removeprefix(peer_clients.PENDING_PATH))
    return _json(peer_clients.answer_pending(leader, queue))


def _json(value: msgspec.Struct) -> http.Response:
    return http.Response(200, [handlers.JSON], msgspec.json.encode(value))


async def _follow_configuration(server: states.Server) -> None:
    async def take(items: list[stores.Item], whole: bool) -> None:
        await watcher.apply_each(
            operator.CONFIGURATION_KEY,
            items,
            functools.partial(_take_configuration, server),
        )

    async def note(sent_s: float) -> None:
        await lease.note_contact(server, sent_s)
        if server.configuration_readable:
            freshness.record_reading(server, sent_s)

    await watcher.follow(
        server.store,
        operator.CONFIGURATION_KEY,
        term.WATCH_TIMEOUT_S,
        take,
        watcher.StoreContact(note, server.store_back),
    )


async def _take_configuration(
    server: states.Server, item: stores.Item
) -> None:
    if item.removed or item.key != operator.CONFIGURATION_KEY:
        return
    if item.revision <= server.configuration_revision:
        return
    try:
        configuration = operator.decode_configuration(item.value)
    except msgspec.MsgspecError as error:
        # Which keys it takes away isn't known.
        server.configuration_readable = False
        event_log.emit('configuration', 'malformed', why=str(error))
        return
    server.configuration_readable = True
    before = server.configuration
    server.configuration = configuration
    server.configuration_revision = item.revision
    taken_keys = access.record_revocations(
        server.revoked,
        before.tenants if before is not None else None,
        configuration.tenants,
        configuration.version,
    )
    if configuration.tenants is not None:
        for tenant in configuration.tenants.by_name.values():
            server.limits[tenant.name] = tenant.limit
        for fault in configuration.tenants.faults:
            event_log.emit('configuration', 'bad-tenant', why=fault)
    event_log.emit(
        'configuration',
        'in-force',
        version=configuration.version,
        queues=len(configuration.queues),
        tenants=_tenant_count(configuration),
        keys_taken_away=taken_keys,
        revision=item.revision,
    )
    await server.roles_changed.set()
    if server.leader is not None:
        await server.leader.placement_due.set()


def _tenant_count(configuration: queues.Configuration) -> int:
    tenants = configuration.tenants
    return len(tenants.by_name) if tenants is not None else 0


async def _follow_roles(server: states.Server) -> None:
    roles = server.roles

    async def apply_role(item: stores.Item) -> None:
        if item.removed:
            roles_.apply_removal(roles, item.key, item.revision, clock.now_s())
            return
        try:
            roles_.apply_value(
                roles, item.key, item.value, item.revision, item.lease
            )
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            event_log.emit('roles', 'malformed', key=item.key, why=str(error))

    async def take(items: list[stores.Item], whole: bool) -> None:
        if whole:
            roles_.reset(roles, clock.now_s())
        await watcher.apply_each(roles_.PREFIX, items, apply_role)
        roles.is_loaded = True
        await server.roles_changed.set()

    await watcher.follow(
        server.store,
        roles_.PREFIX,
        term.WATCH_TIMEOUT_S,
        take,
        lease.store_contact(server),
    )


async def _reload_on_signal(server: states.Server, path: str) -> None:
    """Read the settings again on SIGHUP, and once at first.

    A signal that came while the process started has been ignored.
    """
    arrivals = await daemon.signal_socket(signal.SIGHUP)
    _reload(server, path)
    while await arrivals.recv(1):
        _reload(server, path, is_asked=True)


def _reload(server: states.Server, path: str, is_asked: bool = False) -> None:
    """Read the settings again; a faulty file changes nothing.

    :param is_asked: log it even if nothing has changed
    """
    try:
        settings = boot.read(path)
    except boot.BadSettings as error:
        event_log.emit('server', 'not-reloaded', why=str(error))
        return
    changed = [
        name
        for name in settings.__struct_fields__
        if getattr(settings, name) != getattr(server.settings, name)
    ]
    server.settings = settings
    if changed or is_asked:
        event_log.emit('server', 'reloaded', changed=changed)


if __name__ == '__main__':
    main()
