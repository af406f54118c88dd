"""Keys that are taken away, and limits that fall and rise."""

import curio

from emulator import scenes
from emulator import tenancy as tenancies

SERIES = 3
"""Keys that are taken away one after another."""

LOW_PART = 0.1
"""What is left of a limit that falls far below what runs."""


async def key_revoked(scene: scenes.Scene, trouble) -> None:
    """Take one key of a tenant away; it gets another one for it."""
    await _rotate(scene, all_keys=False)


async def keys_revoked(scene: scenes.Scene, trouble) -> None:
    """Take keys away one after another, first all of one tenant."""
    for number in range(SERIES):
        await _rotate(scene, all_keys=number == 0)
        await curio.sleep(trouble.for_s / SERIES)


async def _rotate(scene: scenes.Scene, all_keys: bool) -> None:
    tenancy = scene.tenancy
    if tenancy is None:
        return
    row = tenancy.rows[tenancy.rng.choice(list(tenancy.rows))]
    kept = [] if all_keys else row['api_keys'][1:]
    row['api_keys'] = [*kept, tenancies.mint(tenancy)]
    await tenancies.write(tenancy, scene.store)


async def limits_fall(scene: scenes.Scene, trouble) -> None:
    """Let a tenant's limit fall far below what runs, and rise again."""
    tenancy = scene.tenancy
    if tenancy is None:
        return
    row = tenancy.rows[tenancy.rng.choice(list(tenancy.rows))]
    # Another fall may be under way; both rise to where it began.
    usual = {**row['max_count'], 'cpu': tenancy.limit_cpu}
    row['max_count'] = {**usual, 'cpu': int(tenancy.limit_cpu * LOW_PART)}
    await tenancies.write(tenancy, scene.store)
    await curio.sleep(trouble.for_s)
    row['max_count'] = usual
    await tenancies.write(tenancy, scene.store)
