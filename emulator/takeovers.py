"""Troubles around a change of leader."""

import curio

from emulator import scenes
from emulator import servers
from emulator import store as stores
from emulator import virtual

LOOK_S = 0.005
"""Time between two looks at who leads."""

CHANGE_S = 4.0
"""Longest wait for the next leader: twice a lease and an election."""

LATE_S = 0.3
"""How long orders become late before their leader is gone."""

SUSPENDED_S = 2.0
"""Least time for which a leader is suspended; its lease lasts 1.5 s."""


SLOW_BACK_S = 0.05
"""By how much some stores that have just come back answer late; calm ones
take 4 ms."""

FAR_S = 0.1
"""The most by which the leader's way to such a store takes longer."""

BACK_S = 0.6
"""How long a store that came back stays slow."""


async def _next_leader(scene: scenes.Scene, former: servers.Process) -> bool:
    """Wait until another server leads; False if none comes."""
    for _ in range(round(CHANGE_S / LOOK_S)):
        for process in scene.processes:
            if process is not former and servers.leads(process):
                return True
        await curio.sleep(LOOK_S)
    return False


async def _soon(scene: scenes.Scene) -> None:
    """Wait for a moment of the takeover's length."""
    await curio.sleep(scene.rng.uniform(0.0, 0.15))


async def store_lapses(scene, trouble, how='busy') -> None:
    """Let the store be away while leases run out, and come back slowly."""
    await _lapse(scene, trouble.for_s, how)


async def _lapse(scene: scenes.Scene, for_s: float, how: str) -> None:
    """Let the store be away; the leader is a late one to find it back."""
    way = (scenes.leader(scene).name, servers.STORE_ADDRESS)
    before_s = scene.network.away_s.get(way, 0.0)
    scene.network.away_s[way] = scene.rng.uniform(0.0, FAR_S)
    scene.store.lapses = True
    await scenes.store_away(scene, for_s, how)
    scene.store.lapses = False
    scene.store.slow_s = scene.rng.choice((0.0, SLOW_BACK_S))
    await curio.sleep(BACK_S)
    scene.store.slow_s = 0.0
    scene.network.away_s[way] = before_s


async def store_lapses_silent(scene, trouble) -> None:
    """Let the store answer nothing while leases run out."""
    await store_lapses(scene, trouble, 'silent')


async def store_lapses_parted(scene, trouble) -> None:
    """Let the next leader not reach some workers at the store's return."""
    await curio.spawn(
        scenes.cut,
        scene,
        _others_reach(scene),
        trouble.for_s + BACK_S,
        daemon=True,
    )
    await _lapse(scene, trouble.for_s, 'busy')


async def store_lapses_twice(scene, trouble) -> None:
    """Let the store be away again just after somebody has taken over."""
    former = scenes.leader(scene)
    away = (scene, trouble.for_s, 'busy')
    first = await curio.spawn(_lapse, *away, daemon=True)
    await curio.sleep(trouble.for_s)
    await _next_leader(scene, former)
    await _soon(scene)
    await first.cancel()
    await _lapse(*away)


async def leader_suspended(scene, trouble) -> None:
    """Let the leader do nothing until another leads."""
    name = scenes.leader(scene).name
    virtual.suspend_process(name, max(SUSPENDED_S, trouble.for_s))


async def leader_suspended_in_outage(scene, trouble) -> None:
    """Let the leader wake about when the store is back."""
    name = scenes.leader(scene).name
    away_s = max(SUSPENDED_S, trouble.for_s)
    late_s = scene.rng.uniform(-0.2, 0.4)
    virtual.suspend_process(name, away_s + late_s)
    await _lapse(scene, away_s, 'busy')


async def leaders_stopped(scene, trouble) -> None:
    """Stop the leader, and the next one within a second."""
    former = scenes.leader(scene)
    await curio.spawn(scenes.stop, scene, former, 3.0, daemon=True)
    if await _next_leader(scene, former):
        await _soon(scene)
        await scenes.stop(scene, scenes.leader(scene), 3.0)


async def _end_lease(scene: scenes.Scene, process: servers.Process) -> None:
    """End the lease of a server, if it has one, before its time."""
    if process.state is not None and process.state.lease:
        await stores.end_lease(scene.store, process.state.lease)


async def leases_revoked(scene, trouble) -> None:
    """Let the store refuse the leader and another, and end their leases."""
    struck = scenes.leader(scene)
    others = [row for row in scene.processes if row is not struck]
    rows = [struck, scene.rng.choice(others)]
    for process in rows:
        scene.store.refused.add(process.name)
        await _end_lease(scene, process)
    await curio.sleep(trouble.for_s)
    for process in rows:
        scene.store.refused.discard(process.name)


async def late_across_takeover(scene, trouble) -> None:
    """Let orders of a leader that dies be carried out under the next."""
    addresses = scenes.executor_addresses(scene)
    await scenes.spoil(scene.network.late_share, addresses, 0.5, LATE_S)
    await scenes.kill(scene, scenes.leader(scene), trouble.for_s)


async def all_killed_in_takeover(scene, trouble) -> None:
    """Kill all while another server has just taken over."""
    former = scenes.leader(scene)
    await curio.spawn(scenes.kill, scene, former, 6.0, daemon=True)
    await _end_lease(scene, former)
    await _next_leader(scene, former)
    await _soon(scene)
    await scenes.kill_all(scene, min(2.0, trouble.for_s))


async def wave_and_stop(scene, trouble) -> None:
    """Ask for maintenance and stop the leader at once."""
    await scenes.ask_wave(scene)
    await _soon(scene)
    await scenes.stop(scene, scenes.leader(scene), 3.0)


async def reach_parted(scene, trouble) -> None:
    """Let the next leader not reach workers that the former one reaches."""
    pairs = _others_reach(scene)
    pairs.add((scenes.leader(scene).name, servers.STORE_ADDRESS))
    await scenes.cut(scene, pairs, max(SUSPENDED_S, trouble.for_s))


PARTED_FACTOR = 3.0
"""How much longer the cuts below last than other troubles: a former leader
acts for 12 s without the store."""

ONE_WAY_SHARE = 0.3
"""Part of these cuts in which one side still reaches the other."""


async def sides_parted(scene, trouble) -> None:
    """Part leader, half of the others and some machines from store and rest.

    Calls across fail in drawn ways, which change while the cut lasts.
    """
    former = scenes.leader(scene)
    others = [row for row in scene.processes if row is not former]
    near = [former, *scene.rng.sample(others, (len(others) + 1) // 2)]
    far = [row for row in others if row not in near]
    addresses = scenes.executor_addresses(scene)
    kept = set(scene.rng.sample(addresses, len(addresses) // 2))
    pairs = {(row.name, address) for row in far for address in kept}
    lost = {*addresses, servers.STORE_ADDRESS, servers.MACHINES_ADDRESS}
    pairs |= {(row.name, address) for row in near for address in lost - kept}
    out = {(row.name, other.address) for row in near for other in far}
    back = {(row.name, other.address) for row in far for other in near}
    if scene.rng.random() < ONE_WAY_SHARE:
        pairs |= scene.rng.choice((out, back))
    else:
        pairs |= out | back
    for_s = PARTED_FACTOR * trouble.for_s
    harms = scenes.draw_harms(scene)
    await scenes.cut_loudly(scene, pairs, harms, for_s)


async def ways_spoiled(scene, trouble) -> None:
    """Let calls on a part of all ways fail in drawn ways."""
    addresses = [
        servers.STORE_ADDRESS,
        servers.MACHINES_ADDRESS,
        *scenes.executor_addresses(scene),
        *(process.address for process in scene.processes),
    ]
    share = scene.rng.choice((0.1, 0.3))
    pairs = {
        (process.name, address)
        for process in scene.processes
        for address in addresses
        if address != process.address and scene.rng.random() < share
    }
    harms = scenes.draw_harms(scene)
    await scenes.cut_loudly(scene, pairs, harms, trouble.for_s)


async def leader_cut_loudly(scene, trouble) -> None:
    """Cut the leader off the store and the other servers, not the machines."""
    former = scenes.leader(scene)
    others = [row for row in scene.processes if row is not former]
    pairs = {(former.name, servers.STORE_ADDRESS)}
    if scene.rng.random() < 0.5:
        pairs |= {(row.name, former.address) for row in others}
    if scene.rng.random() < 0.5:
        pairs |= {(former.name, row.address) for row in others}
    harms = scenes.draw_harms(scene)
    await scenes.cut_loudly(scene, pairs, harms, trouble.for_s)


async def leader_parted(scene, trouble) -> None:
    """Part the leader and half of the machines from all others."""
    pairs = _others_reach(scene)
    former = scenes.leader(scene)
    hidden = {address for _name, address in pairs}
    rest = {servers.STORE_ADDRESS, *scenes.executor_addresses(scene)} - hidden
    for process in scene.processes:
        if process is not former:
            rest |= {process.address}
            pairs.add((process.name, former.address))
    pairs |= {(former.name, address) for address in rest}
    await scenes.cut(scene, pairs, max(SUSPENDED_S, trouble.for_s))


def _others_reach(scene: scenes.Scene) -> set[tuple[str, str]]:
    """Give the ways of all but the leader to half of the machines."""
    former = scenes.leader(scene)
    addresses = scenes.executor_addresses(scene)
    hidden = scene.rng.sample(addresses, len(addresses) // 2)
    return {
        (process.name, address)
        for process in scene.processes
        if process is not former
        for address in hidden
    }
