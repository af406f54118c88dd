"""Access to handing buckets of idempotency keys over to other entries."""

import logging
import uuid

from oleanderwood import buckets
from oleanderwood import errors
from oleanderwood import idempotency
from oleanderwood import key_state
from oleanderwood import key_table
from oleanderwood import node as nodes
from oleanderwood import verdict as verdicts

LOG = logging.getLogger('keys')

AT_ONCE = 8
"""Buckets that are handed over with one write of the table."""


async def run(
    node: nodes.Node,
    numbers: tuple[int, ...],
    others: frozenset[buckets.Owner],
) -> set[buckets.Owner]:
    """Hand buckets over, few at once, so that none is frozen for long.

    :returns: those that took none of what they were sent
    :raises errors.StoreUnavailable: the store didn't answer
    :raises errors.StoreConflict: it gave an older table than before
    """
    silent: set[buckets.Owner] = set()
    for first in range(0, len(numbers), AT_ONCE):
        some = numbers[first : first + AT_ONCE]
        if others - silent:
            silent |= await _run(node, some, others - silent)
    return silent


async def _run(
    node: nodes.Node,
    numbers: tuple[int, ...],
    others: frozenset[buckets.Owner],
) -> set[buckets.Owner]:
    """Hand buckets over: freeze, send, and swap once.

    Never swapped twice: a newer table unfreezes the buckets, and records
    that were sent before that may lack grants.

    :returns: those that took none of what they were sent
    :raises errors.StoreUnavailable: the store didn't answer
    :raises errors.StoreConflict: it gave an older table than before
    """
    keys = node.keys
    table, version = await key_table.read(node)
    if table is None:
        return set()
    planned = [
        move
        for move in buckets.spread(table, numbers, others)
        if move.bucket in keys.ledger.held
    ]
    sent, silent = await _send_all(node, planned)
    if not sent:
        return silent
    earlier = keys.doubtful
    made = buckets.apply(table, sent)
    keys.doubtful = made.revision
    try:
        swapped = await key_table.swap(node, made, version)
    except errors.StoreUnavailable as error:
        if error.verdict is verdicts.Verdict.NOT_RUN:
            keys.doubtful = earlier
            _thaw(node, planned)
        raise
    if swapped:
        LOG.info('Handed %d buckets over.', len(sent))
    else:
        # A newer table, which may be an earlier write of this entry, says
        # what is still its own; no write over an older one can follow.
        await key_table.read(node)
        _thaw(node, planned)
    return silent


async def _send_all(
    node: nodes.Node, planned: list[buckets.Move]
) -> tuple[list[buckets.Move], set[buckets.Owner]]:
    """Freeze and send buckets.

    :returns: the moves whose records arrived; those that took nothing
    """
    silent: set[buckets.Owner] = set()
    sent = []
    for move in planned:
        name = uuid.uuid4().hex
        if move.to not in silent and await _send(node, move, name):
            sent.append(buckets.Move(move.bucket, move.to, name))
        else:
            silent.add(move.to)
            _thaw(node, [move])
    return sent, silent


def _thaw(node: nodes.Node, moves: list[buckets.Move]) -> None:
    """Use buckets again whose hand-over is given up.

    Not while an earlier write of the table, whose result isn't known, may
    still hand them over.
    """
    keys = node.keys
    if keys.doubtful > keys.ledger.revision:
        return
    for move in moves:
        idempotency.thaw(keys.ledger, move.bucket)


async def _send(node: nodes.Node, move: buckets.Move, name: str) -> bool:
    """Send a bucket's records; say whether they arrived."""
    ledger = node.keys.ledger
    for member in node.view.roster.members:
        if key_state.owner(member) == move.to:
            break
    else:
        return False
    records = idempotency.hand_over(ledger, move.bucket, name)
    if records is None:
        return False
    try:
        reply = await node.peers.hand_over(member.peer, records)
    except errors.CallFailed as error:
        LOG.info('%s takes no buckets: %s.', member.entry, error)
        return False
    return reply.taken
