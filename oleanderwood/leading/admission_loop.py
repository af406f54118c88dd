"""Computes and publishes how much of each tenant's calls pools can take."""

import curio
import msgspec

from oleanderwood.admission import controller as controllers
from oleanderwood.admission import figures as figures_
from oleanderwood.admission import gate as gates
from oleanderwood.admission import load as loads_
from oleanderwood import clock
from oleanderwood import codec
from oleanderwood import errors
from oleanderwood import event_log
from oleanderwood import ids
from oleanderwood.leading import admission_load
from oleanderwood.leading import load_control
from oleanderwood.leading import roles as roles_
from oleanderwood.leading import state as states
from oleanderwood.platform import transport
from oleanderwood import server_metrics

PATH = '/admission'

INTERVAL_S = 0.25
"""Time between two publications: a burst of fourteen times the usual load
fills a pool with a second's work in that time."""

SEND_TIMEOUT_S = 0.2
"""Time-out of a call to another server, less than the interval, so that a slow
server does not delay the next figures of the others."""

LOG_INTERVAL_S = 1.0
"""Interval between two log lines on a pool that stays limited."""

TENANTS_LOGGED = 5
"""Tenants named in such a line, those that ask for most."""


async def publish_always(leader: states.Leader) -> None:
    """Compute figures and send them to all servers until cancelled."""
    try:
        while True:
            began_s = clock.now_s()
            if states.may_act(leader) and is_on(leader):
                await publish(leader)
            took_s = clock.now_s() - began_s
            await curio.sleep(max(0.0, INTERVAL_S - took_s))
    finally:
        server_metrics.ADMISSION_SHARE.clear()


def is_on(leader: states.Leader) -> bool:
    """Return whether admission control is in force."""
    return load_control.switches(leader).admission


async def publish(leader: states.Leader) -> None:
    """Compute the figures, apply them here, and send them to other servers.

    Nothing is sent while no pool is limited.
    """
    now_s = clock.now_s()
    controller = leader.admission
    loads = admission_load.measure(leader, controller.limits, now_s)
    arrivals = []
    if loads:
        arrivals = admission_load.arrivals(leader, loads, now_s)
    rules = controllers.Rules(
        states.tenant_weights(leader),
        leader.policy.policy.load.max_wait_factor,
    )
    decision = controllers.decide(controller, loads, arrivals, rules, now_s)
    for pool in decision.opened:
        server_metrics.ADMISSION_SHARE.labels(pool).set(1.0)
        event_log.emit('admission', 'open', pool=pool)
    figures = decision.figures
    if figures is None:
        return
    for pool, row in figures.pools.items():
        share = figures_.smallest_share(row)
        server_metrics.ADMISSION_SHARE.labels(pool).set(share)
        _log_limited(controller, pool, row, loads[pool], now_s)
    gates.receive(leader.server.gate, figures, now_s)
    await _send_to_all(leader, msgspec.json.encode(figures))


def _log_limited(
    controller: controllers.Controller,
    pool: ids.ServiceId,
    row: figures_.PoolFigures,
    load: loads_.PoolLoad,
    now_s: float,
) -> None:
    """Log a limited pool at limited intervals."""
    limit = controller.limits[pool]
    if now_s - limit.logged_s < LOG_INTERVAL_S:
        return
    limit.logged_s = now_s
    offers = controller.offers.get(pool, {})
    largest = sorted(offers, key=lambda name: -offers[name].core_s_per_s)
    event_log.emit(
        'admission',
        'limited',
        pool=pool,
        wait_s=row.wait_s,
        supply=round(loads_.supply_core_s(load), 1),
        accepted=round(load.accepted_core_s, 1),
        demand=round(sum(o.core_s_per_s for o in offers.values()), 1),
        holder=row.holder,
        too_late=row.too_late,
        tenants=len(offers),
        shares={
            name: figures_.share_of(row, name)
            for name in largest[:TENANTS_LOGGED]
        },
    )


async def _send_to_all(leader: states.Leader, body: bytes) -> None:
    """Send figures to all other servers at the same time."""
    server = leader.server
    async with curio.TaskGroup(wait=all) as group:
        for other in roles_.peers(server.roles, server.process):
            await group.spawn(_send, leader, other.address, body)


async def _send(
    leader: states.Leader, address: ids.Address, body: bytes
) -> None:
    try:
        await transport.call(
            leader.peer_connections,
            address,
            'POST',
            PATH,
            body,
            timeout_s=SEND_TIMEOUT_S,
        )
    except errors.CallFailed as error:
        # That server admits all jobs once its figures expire.
        event_log.emit(
            'admission', 'not-told', address=address, why=error.reason
        )


def receive(server: states.Server, body: bytes) -> None:
    """Take the figures of a leader, unless a newer one is known.

    :raises msgspec.MsgspecError: the body cannot be decoded
    """
    figures = codec.decode(body, figures_.Figures)
    leader = server.roles.leader
    least_term = leader.term if leader is not None else 0
    gates.receive(server.gate, figures, clock.now_s(), least_term)
