"""Executors that start again under their id, and what strikes meanwhile."""

import curio

from emulator import fleet as fleets
from emulator import scenes
from emulator import servers
from emulator import virtual

AWAY_S = (0.05, 0.3, 1.0, 3.0)
"""How long an executor is away; one life follows the other at once, or after
a lease's renewals have failed for a while."""

LATE_ENTRY_SHARE = 0.3
"""Part of the restarts after which the entry of the life before is written
once more."""

RESETS_SHARE = 0.5
"""Part of the restarts that cut the calls which wait there."""

LATE_S = 0.4
"""How long orders become late before their executors start again."""


def _busy(scene: scenes.Scene) -> list[fleets.Machine]:
    """Give the machines whose executor runs something, else all up."""
    up = [
        row
        for row in scene.fleet.machines.values()
        if row.executor is not None and row.state == 'up'
    ]
    return [row for row in up if row.executor.running] or up


async def _restart(scene: scenes.Scene, machine: fleets.Machine) -> None:
    late_entry = scene.rng.random() < LATE_ENTRY_SHARE
    away_s = scene.rng.choice(AWAY_S)
    resets = scene.rng.random() < RESETS_SHARE
    await fleets.restart(scene.fleet, machine, away_s, late_entry, resets)


async def _restart_all(
    scene: scenes.Scene, machines: list[fleets.Machine]
) -> None:
    async with curio.TaskGroup() as group:
        for machine in machines:
            await group.spawn(_restart, scene, machine)


async def one(scene, trouble) -> None:
    """Restart an executor."""
    machines = _busy(scene)
    if machines:
        await _restart(scene, scene.rng.choice(machines))


async def twice(scene, trouble) -> None:
    """Restart an executor, and once more within a second."""
    machines = _busy(scene)
    if machines:
        machine = scene.rng.choice(machines)
        await _restart(scene, machine)
        await curio.sleep(scene.rng.uniform(0.0, 1.0))
        await _restart(scene, machine)


async def half(scene, trouble) -> None:
    """Restart half of the executors that run something."""
    machines = _busy(scene)
    count = (len(machines) + 1) // 2
    await _restart_all(scene, scene.rng.sample(machines, count))


async def in_takeover(scene, trouble) -> None:
    """Restart executors while another server comes to lead."""
    former = scenes.leader(scene)
    how = scene.rng.choice(('killed', 'stopped', 'suspended'))
    if how == 'suspended':
        virtual.suspend_process(former.name, max(2.0, trouble.for_s))
    else:
        act = scenes.kill if how == 'killed' else scenes.stop
        await curio.spawn(act, scene, former, 3.0, daemon=True)
    await curio.sleep(scene.rng.uniform(0.0, 2.0))
    await half(scene, trouble)


async def in_cut(scene, trouble) -> None:
    """Restart an executor that only some servers reach, cut in drawn ways."""
    machines = _busy(scene)
    if not machines:
        return
    machine = scene.rng.choice(machines)
    count = scene.rng.randint(1, len(scene.processes))
    cut_off = scene.rng.sample(scene.processes, count)
    pairs = {(row.name, machine.address) for row in cut_off}
    if scene.rng.random() < 0.5:
        pairs.add((scenes.leader(scene).name, servers.STORE_ADDRESS))
    await curio.spawn(
        scenes.cut_loudly,
        scene,
        pairs,
        scenes.draw_harms(scene),
        2 * trouble.for_s,
        daemon=True,
    )
    await curio.sleep(scene.rng.uniform(0.0, trouble.for_s))
    await _restart(scene, machine)
    await curio.sleep(trouble.for_s)


async def with_late_orders(scene, trouble) -> None:
    """Let orders be late or unanswered, and restart their executors."""
    network = scene.network
    share = scene.rng.choice((network.late_share, network.lost_share))
    addresses = scenes.executor_addresses(scene)
    await scenes.spoil(share, addresses, 0.5, LATE_S)
    await half(scene, trouble)


async def while_store_is_away(scene, trouble) -> None:
    """Restart executors while the store is away; their entries come late."""
    how = scene.rng.choice(('busy', 'silent'))
    await curio.spawn(
        scenes.store_away, scene, trouble.for_s, how, daemon=True
    )
    await curio.sleep(scene.rng.uniform(0.0, trouble.for_s))
    await half(scene, trouble)
    await curio.sleep(trouble.for_s)
