"""Decides which parts of load control are in force.

Operators set each part in their policy. Without that, the platform's
configuration and settings decide, so a deployment that does not ask for a part
is served as before.
"""

import dataclasses

from oleanderwood import boot
from oleanderwood.leading import state as states
from oleanderwood.platform import contracts
from oleanderwood.policy import model as policies

EXPENSIVE_CORRECTION_MS = 1000.0
"""Time to stop a task and restore it elsewhere from which a task that was
placed on the wrong worker cannot be moved in time: callers of short jobs allow
about a second beyond the work itself."""


MAX_WORKERS = 2000
"""Workers up to which the parts are in force by themselves, twice the size to
design for. At 3,000 a leader has no time for them: it served 0.39 of what was
owed with them and 0.69 without."""


@dataclasses.dataclass(frozen=True)
class Switches:
    """Which parts of load control are in force.

    :ivar admission: jobs that cannot be served in time may be refused
    :ivar ordering: jobs that can end in time behind the others go first
    :ivar balancing: pools share the fleet by the worth of their work
    :ivar placement: workers' speeds and racks count where tasks are placed
    """

    admission: bool = False
    ordering: bool = False
    balancing: bool = False
    placement: bool = False


def switches(leader: states.Leader) -> Switches:
    """Return which parts are in force for a leader."""
    settings = leader.server.settings
    configuration = leader.server.configuration
    has_tenants = (
        configuration is not None and configuration.tenants is not None
    )
    workers = max(len(leader.workers), len(leader.fleet.machines))
    return decide(leader.policy.policy.load, settings, has_tenants, workers)


def decide(
    load: policies.Load,
    settings: boot.Settings,
    has_tenants: bool,
    workers: int = 0,
) -> Switches:
    """Return which parts are in force by the policy and the settings.

    :param has_tenants: the platform's configuration defines tenants
    :param workers: size of the fleet
    """
    presses = has_tenants and contracts.declares_pressure(settings.contracts)
    correction_ms = settings.task_stop_ms + settings.task_restore_ms
    is_uneven = presses or correction_ms >= EXPENSIVE_CORRECTION_MS
    if workers > MAX_WORKERS:
        presses = is_uneven = False
    return Switches(
        admission=_is_on(load.admission, presses),
        ordering=_is_on(load.ordering, presses),
        balancing=_is_on(load.balancing, is_uneven),
        placement=_is_on(load.placement, is_uneven),
    )


def _is_on(mode: policies.Mode, automatic: bool) -> bool:
    if mode is policies.Mode.AUTO:
        return automatic
    return mode is policies.Mode.ON
