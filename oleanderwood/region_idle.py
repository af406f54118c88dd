"""Access to the question whether a decision would change anything.

Decisions cost far more than looking; while nothing happens in a region they
are made seldom.
"""

from oleanderwood import lifecycle
from oleanderwood import platform_api
from oleanderwood import region_state
from oleanderwood import region_view

IDLE_DECIDE_S = 10.0
"""How often a region in which nothing happens is decided on."""


def describe(
    world: region_state.World,
    leader: region_state.Leader,
    view: region_view.View,
) -> region_state.Idle:
    """Give what a decision is made from, but for VMs that are well."""
    inputs = (
        leader.head.revision,
        leader.waves.version,
        leader.sighting.version,
        leader.footing.term,
        tuple(shard.revision for shard in view.shards.values()),
        view.settled,
        tuple(leader.releases.blocked.items()),
        tuple(sorted(leader.seen.unknown)),
    )
    serving = region_state.index(leader).serving
    evidence = {
        vm: seen
        for vm, seen in view.evidence.items()
        if vm not in serving or not _well(seen)
    }
    return region_state.Idle(inputs, evidence, world.monotonic_s())


def _well(seen: lifecycle.Evidence) -> bool:
    vm = seen.platform
    up = platform_api.PlatformVmState.UP
    return vm is not None and vm.state is up and vm.healthy


def same(known: region_state.Idle | None, now: region_state.Idle) -> bool:
    """Say whether a decision would change nothing, as the last one did."""
    if known is None or now.decided_at_s - known.decided_at_s > IDLE_DECIDE_S:
        return False
    return (known.inputs, known.evidence) == (now.inputs, now.evidence)
