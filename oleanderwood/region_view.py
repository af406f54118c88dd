"""Access to what a region's leader decides from, and to its decision."""

import collections.abc
import dataclasses

from oleanderwood import availability
from oleanderwood import buffer
from oleanderwood import configuration
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import inventory
from oleanderwood import lifecycle
from oleanderwood import ownership
from oleanderwood import reserve
from oleanderwood import wave as waves
from oleanderwood import wave_run
from oleanderwood import wave_state


@dataclasses.dataclass(frozen=True)
class View:
    """What the leader knows when it decides.

    :ivar evidence: of VMs that were looked at; the others are as they were
    :ivar unknown: VMs that the pool interface doesn't know
    :ivar settled: VMs may be taken and moved: the roster has answered
        whole since the leader gained its footing
    :ivar runs: what is known of the runs of waves
    :ivar loans: what the waves asked for last
    """

    region: ids.Region
    configuration: configuration.Configuration
    shards: ownership.Shards
    sighting: inventory.Sighting
    evidence: collections.abc.Mapping[ids.VmId, lifecycle.Evidence]
    released: ownership.Released
    unknown: collections.abc.Container[ids.VmId]
    settled: bool
    waves: wave_state.Waves
    runs: wave_run.Runs
    account: availability.Account
    loans: tuple[buffer.Loan, ...]
    now_s: float


@dataclasses.dataclass
class Decision:
    """What is to be written.

    :ivar changes: of rows, for any shard
    :ivar breaches: rules that planned changes would have broken; those
        changes were left out
    :ivar batches: what each active wave does now, by run
    """

    changes: list[ownership.Change]
    runs: wave_run.Runs
    waves: wave_state.Waves
    loans: tuple[buffer.Loan, ...] = ()
    breaches: list[ownership.Breach] = dataclasses.field(default_factory=list)
    batches: dict[ids.WaveId, waves.Batch] = dataclasses.field(
        default_factory=dict
    )


def pools_of(view: View) -> dict[ids.PoolId, configuration.Pool]:
    """Give the region's pools by id."""
    return {
        ids.PoolId(pool.name): pool
        for pool in view.configuration.pools
        if pool.region == view.region
    }


def changed(decision: Decision) -> set[ids.VmId]:
    """Name the VMs whose rows change."""
    return {(one.before or one.after).vm for one in decision.changes}


def stable_rows(
    view: View, decision: Decision
) -> dict[ids.VmId, tuple[ids.DataCentre, fleet.VmRow]]:
    """Give the rows as they may be counted on after the changes so far.

    Losses of this go are seen; gains aren't, since they aren't written yet.
    """
    rows = {
        row.vm: (data_centre, row)
        for data_centre, row in ownership.rows_of(view.shards)
    }
    for one in decision.changes:
        if one.after is None:
            rows.pop(one.before.vm)
        elif one.before is not None and ownership.leaves_service(one):
            rows[one.after.vm] = (one.data_centre, one.after)
    return rows


def sites(view: View) -> dict[ids.VmId, reserve.Site]:
    """Say where the VMs stand that aren't leaving."""
    return {
        vm: reserve.Site(listed.data_centre, listed.rack)
        for vm, listed in view.sighting.listed.items()
        if not inventory.is_leaving(view.sighting, vm)
    }
