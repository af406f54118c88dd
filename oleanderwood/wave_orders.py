"""Access to operators' orders to waves, written to the store."""

from oleanderwood import admin_messages
from oleanderwood import change
from oleanderwood import configuration
from oleanderwood import errors
from oleanderwood import ids
from oleanderwood import operators
from oleanderwood import wave_state


async def order(
    desk: operators.Desk, name: str, what: wave_state.Order, reason: str
) -> admin_messages.WaveReply:
    """Start, pause or stop a wave in each region of its pools.

    A repeat changes nothing, so a call that failed midway is repeated.

    :raises errors.WaveConflict: the wave's state, or another wave that
        works on one of its pools, doesn't allow it
    :raises LookupError: there is no such wave
    """
    current = await operators.read_current(desk)
    waves = {wave.name: wave for wave in current.whole.waves}
    regions = _wave_regions(current.whole, name)
    if what is wave_state.Order.STOP:
        regions |= await _regions_at_work(desk, current.whole, name)
    if not regions:
        raise LookupError(f'there is no wave {name!r}')
    changed = []
    for region in sorted(regions):
        changed.append(
            await _order_in(desk, region, waves, name, what, reason)
        )
    return admin_messages.WaveReply(tuple(changed))


def _wave_regions(whole: configuration.Configuration, name: str) -> set[str]:
    pools = {pool.name: pool for pool in whole.pools}
    return {
        pools[pool].region
        for wave in whole.waves
        if wave.name == name
        for pool in wave.pools
        if pool in pools
    }


async def _regions_at_work(
    desk: operators.Desk, whole: configuration.Configuration, name: str
) -> set[str]:
    """Give the regions where a wave runs, though the file lacks it.

    A start and an apply that removes the wave may cross each other.
    """
    found = await operators.read_waves(desk, operators.regions_of(whole))
    return {w.region for w in found if name in wave_state.active((w,))}


async def _order_in(
    desk: operators.Desk,
    region: str,
    waves: dict[str, configuration.Wave],
    wave: str,
    what: wave_state.Order,
    reason: str,
) -> admin_messages.RegionWave:
    name = ids.Region(region)
    now_s = desk.links.wall_clock()

    def transform(before: wave_state.Waves) -> wave_state.Waves:
        if what is wave_state.Order.START:
            _refuse_shared_pools(before, waves, waves[wave])
        return wave_state.order(before, ids.WaveId(wave), what, now_s, reason)

    after = await change.change(
        desk.links.kept,
        wave_state.key(name),
        wave_state.Waves(region=name),
        transform,
        desk.new_operation(),
    )
    found = wave_state.find(after, ids.WaveId(wave))
    return admin_messages.RegionWave(name, found)


def _refuse_shared_pools(
    before: wave_state.Waves,
    waves: dict[str, configuration.Wave],
    wave: configuration.Wave,
) -> None:
    for other in wave_state.active((before,)):
        if other == wave.name or other not in waves:
            continue
        shared = set(waves[other].pools) & set(wave.pools)
        if shared:
            raise errors.WaveConflict(
                f'wave {other} works on pool {min(shared)}: stop it first '
                'or wait for its end'
            )
