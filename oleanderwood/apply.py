"""Access to applying a configuration: stage, roll out, settle."""

import dataclasses

import msgspec

from oleanderwood import configuration
from oleanderwood import errors
from oleanderwood import ids
from oleanderwood import parts
from oleanderwood import rollout
from oleanderwood import rollout_run
from oleanderwood import staging
from oleanderwood import verdict as verdicts


@dataclasses.dataclass(frozen=True)
class Wish:
    """What an operator wants applied.

    :ivar above: the revision has to be higher than this, and than the head
    """

    whole: configuration.Configuration
    operation: ids.OperationId
    author: str = ''
    above: ids.Revision = ids.Revision(0)


class Applied(msgspec.Struct, frozen=True, kw_only=True):
    """How an apply ended.

    ``revision`` is the one accepted, or in the store at a conflict, with
    its ``author``. ``in_force_s`` is the time from the swap until all
    members had it in force; ``missing`` names those not known to.
    """

    outcome: rollout.Outcome
    operation: ids.OperationId
    base: ids.Revision
    revision: ids.Revision
    author: str = ''
    reason: str = ''
    in_force_s: float = 0.0
    missing: tuple[ids.EntryId, ...] = ()
    highest: ids.Revision = ids.Revision(0)


async def run(
    links: rollout_run.Links, current: staging.Current, wish: Wish
) -> Applied:
    """Apply a configuration that was validated against ``current``.

    :raises errors.StoreUnavailable: ``NOT_RUN``, before the roll-out began
    :raises errors.StoreConflict: the operation id is that of another
        apply, or too many are undecided; nothing ran
    """
    wanted = parts.canonical(wish.whole)
    set_back = wish.above > current.head.revision
    if wanted == current.whole and current.head.revision and not set_back:
        return _unchanged(current, wish)
    split = parts.split(wanted)
    references = parts.refer(split, current.head.parts, wish.operation)
    staged = configuration.Head(
        revision=ids.Revision(max(current.head.revision, wish.above) + 1),
        base=current.head.revision,
        parts=references,
        operation=wish.operation,
        author=wish.author,
        accepted_at_s=links.wall_clock(),
    )
    try:
        await _stage(links, current, staged, wanted)
        await _write_parts(links, staged, split)
    except errors.CallFailed as error:
        raise errors.StoreUnavailable(
            verdicts.Verdict.NOT_RUN, error.reason
        ) from error
    ended = await rollout_run.run(links, current, staged, wanted)
    applied = _applied(current, staged, ended)
    if applied.outcome is rollout.Outcome.NOT_RUN:
        await staging.withdraw(links.kept, staged)
    else:
        await staging.settle(links.kept, wish.operation)
    return applied


async def _stage(
    links: rollout_run.Links,
    current: staging.Current,
    staged: configuration.Head,
    wanted: configuration.Configuration,
) -> None:
    try:
        await staging.stage(links.kept, current, staged, wanted)
    except staging.TooMany:
        await staging.clear(links.kept, staged.operation)
        raise


async def _write_parts(
    links: rollout_run.Links,
    staged: configuration.Head,
    split: dict[str, bytes],
) -> None:
    try:
        await staging.write_parts(links.kept, staged, split)
    except errors.CallFailed:
        await staging.withdraw(links.kept, staged)
        raise


def _unchanged(current: staging.Current, wish: Wish) -> Applied:
    return Applied(
        outcome=rollout.Outcome.ACCEPTED,
        operation=wish.operation,
        base=current.head.revision,
        revision=current.head.revision,
        author=current.head.author,
        reason='the file is in force already',
    )


def _applied(
    current: staging.Current,
    staged: configuration.Head,
    ended: rollout_run.Ended,
) -> Applied:
    end = ended.end
    accepted = end.outcome is rollout.Outcome.ACCEPTED
    standing = staged if accepted else end.winner or current.head
    return Applied(
        outcome=end.outcome,
        operation=staged.operation,
        base=staged.base,
        revision=standing.revision,
        author=standing.author,
        reason=end.reason,
        in_force_s=ended.took_s if accepted else 0.0,
        missing=tuple(member.entry for member in end.missing),
        highest=ids.Revision(max(standing.revision, end.in_force)),
    )
