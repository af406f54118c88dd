"""Access to an entry's copy of the world, and what it may do under it.

All functions are pure apart from changing the view; ``now_s`` is a
monotonic clock. Revisions in a view only grow.
"""

import dataclasses
import math

from oleanderwood import anomalies
from oleanderwood import config_state
from oleanderwood import configuration
from oleanderwood import fleet
from oleanderwood import grants
from oleanderwood import ids
from oleanderwood import isolation
from oleanderwood import messages
from oleanderwood import roster as rosters


@dataclasses.dataclass
class View:
    """What one entry process knows.

    :ivar granted: the shards were read after the process was known to be
        on the roster, or sponsored, and it wasn't isolated since
    :ivar sponsor: incarnation of the rostered entry that answers for this
        one, '' if it is on the roster itself
    :ivar joins: how often it came to hold grants after it had none
    :ivar contact_s: when the last request that brought contact was sent
    :ivar cut_after_s: age of the contact at which what is in flight is cut
    """

    member: rosters.Member
    config: config_state.ConfigState
    grants: grants.Grants
    counts: anomalies.Anomalies
    roster: rosters.Roster = rosters.EMPTY
    granted: bool = False
    sponsor: str = ''
    stopping: bool = False
    joins: int = 0
    contact_s: float = -math.inf
    cut_after_s: float = isolation.REQUEST_TIMEOUT_S


def make(member: rosters.Member) -> View:
    """Make the view of a process that knows nothing yet."""
    counts = anomalies.Anomalies()
    return View(
        member=member,
        config=config_state.ConfigState(counts=counts),
        grants=grants.Grants(counts=counts),
        counts=counts,
    )


def services(view: View) -> tuple[configuration.Service, ...]:
    """Give the services of the configuration in force."""
    if view.config.content is None:
        return ()
    return view.config.content.services


def serving(view: View, pool: ids.PoolId) -> tuple[fleet.VmRow, ...]:
    """Give the rows of a pool's VMs that may get new work by their state.

    :func:`may_send` has the last word before each dispatch.
    """
    return grants.serving(view.grants, pool)


def may_send(view: View, vm: ids.VmId, epoch: ids.Epoch, now_s: float) -> bool:
    """Say whether new work may go to a VM under an epoch, at this moment.

    To be asked right before :func:`begin` and the first byte, with no
    other task running in between.
    """
    if not view.granted or isolated(view, now_s):
        return False
    return grants.allows(view.grants, vm, epoch)


def begin(view: View, vm: ids.VmId, epoch: ids.Epoch) -> None:
    """Count a request as in flight, before its first byte is written."""
    grants.begin(view.grants, vm, epoch)


def end(view: View, vm: ids.VmId, epoch: ids.Epoch) -> None:
    """Count a request as over: whole answer, or connection closed."""
    grants.end(view.grants, vm, epoch)


def isolated(view: View, now_s: float) -> bool:
    """Say whether the entry had no contact for too long."""
    return now_s - view.contact_s >= isolation.ISOLATED_S


def must_cut(view: View, now_s: float) -> bool:
    """Say whether what is still in flight has to end now.

    The leader counts on it some seconds later, by a clock that may run at
    another rate.
    """
    return now_s - view.contact_s >= view.cut_after_s


def ready(view: View, now_s: float) -> str:
    """Give '' if the entry may take callers' requests, else why not."""
    if view.stopping:
        return 'stopping'
    if view.config.content is None:
        return 'no configuration yet'
    if not view.granted:
        return 'not joined yet'
    if isolated(view, now_s):
        return f'isolated: no contact for {now_s - view.contact_s:.1f} s'
    missing = set(followed(view)) - set(view.grants.shards)
    if missing:
        return f'no shard of {min(missing)} yet'
    doubtful = config_state.in_doubt(view.config, now_s)
    if doubtful:
        return f'in doubt whether revision {doubtful} is in force'
    return ''


def followed(view: View) -> tuple[ids.DataCentre, ...]:
    """Give the data centres that the entry routes to: of its own region.

    A pool belongs to one region, and only that region's entries hold its
    grants, so that a region that is cut off blocks no other.
    """
    if view.config.content is None:
        return ()
    found = {
        ids.DataCentre(data_centre)
        for pool in view.config.content.pools
        if pool.region == view.member.region
        for data_centre in pool.data_centres
    }
    return tuple(sorted(found))


def contact(view: View, sent_s: float, now_s: float) -> None:
    """Count contact: a request sent at ``sent_s`` was answered at ``now_s``.

    An entry that had become isolated in between has lost its grants: it
    has to join again, and to read the shards anew.
    """
    lapse(view, now_s)
    view.contact_s = max(view.contact_s, sent_s)


def lapse(view: View, now_s: float) -> None:
    """Drop the grants if the entry is isolated."""
    if isolated(view, now_s):
        view.granted = False
        view.sponsor = ''


def grant(view: View, sponsor: str = '') -> None:
    """Hold grants from now on; see ``View.granted`` for when.

    A sponsor names an entry to the leader for ``isolation.QUIET_S`` only.
    """
    view.joins += not view.granted
    view.granted = True
    view.sponsor = sponsor
    view.cut_after_s = isolation.REQUEST_TIMEOUT_S
    if sponsor:
        view.cut_after_s = isolation.ISOLATED_S


def vouches(view: View, now_s: float) -> bool:
    """Say whether this entry's replies count as contact for others."""
    if view.stopping or view.sponsor:
        return False
    return view.granted and not isolated(view, now_s)


def standing(view: View, now_s: float) -> messages.Standing:
    """Say what the entry follows and how well it stands."""
    return messages.Standing(
        entry=view.member.entry,
        incarnation=view.member.incarnation,
        vouches=vouches(view, now_s),
        contact_age_s=min(now_s - view.contact_s, 1e9),
        config_revision=config_state.revision(view.config),
        roster_revision=view.roster.revision,
        shard_revisions={
            data_centre: shard.revision
            for data_centre, shard in view.grants.shards.items()
        },
    )


def behind(
    view: View, theirs: messages.Standing
) -> tuple[ids.DataCentre, ...]:
    """Give the data centres whose shards a peer follows further.

    Contact with the peer doesn't count before these were fetched.
    """
    return tuple(
        ids.DataCentre(data_centre)
        for data_centre, number in theirs.shard_revisions.items()
        if number > grants.revision(view.grants, ids.DataCentre(data_centre))
    )


def lags(view: View, theirs: messages.Standing) -> bool:
    """Say whether a peer follows anything further than this entry."""
    if theirs.config_revision > config_state.revision(view.config):
        return True
    return bool(behind(view, theirs))


def offers(view: View, theirs: messages.Standing) -> bool:
    """Say whether a peer has anything that is worth fetching."""
    if theirs.roster_revision > view.roster.revision:
        return True
    return lags(view, theirs)


def peer_contact(
    view: View, theirs: messages.Standing, sent_s: float, now_s: float
) -> bool:
    """Count a peer's reply as contact if it may be; say whether it was.

    An entry that isn't on the roster has contact with its sponsor alone:
    the leader knows of it from there.
    """
    if not view.granted or view.sponsor:
        return False
    if not theirs.vouches or lags(view, theirs):
        return False
    contact(view, sent_s, now_s)
    return True


def sponsor_contact(
    view: View, reply: messages.SponsorReply, sent_s: float, now_s: float
) -> bool:
    """Count a sponsor's reply; the contact is as old as the sponsor's own.

    With it the entry holds grants under the sponsor, as it follows each
    shard as far. Say whether it does.
    """
    theirs = reply.standing
    if not reply.sponsored or not theirs.vouches or lags(view, theirs):
        return False
    contact(view, sent_s - theirs.contact_age_s, now_s)
    grant(view, theirs.incarnation)
    return True


def apply_roster(view: View, roster: rosters.Roster) -> bool:
    """Follow the roster; a lower revision is refused and counted.

    An entry that was taken off it has to join anew.
    """
    known = view.roster.revision
    same = view.roster == roster
    if not anomalies.newer(
        view.counts, 'roster', known, roster.revision, same
    ):
        return False
    view.roster = roster
    own = view.member.incarnation
    if not view.sponsor and not rosters.holds(roster, own):
        view.granted = False
    return True
