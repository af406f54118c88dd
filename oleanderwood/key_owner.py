"""Access to an entry's buckets of idempotency keys: taking, handing over.

The table is changed by compare-and-swap alone. Whoever takes a bucket reads
the table first, then the roster, then swaps; whoever joins writes the
roster first, then swaps the table if it names it. In whichever order the
two meet, one sees the other, or its swap conflicts.
"""

import hashlib
import logging
import uuid

import curio
import msgspec

from oleanderwood import buckets
from oleanderwood import change
from oleanderwood import errors
from oleanderwood import idempotency
from oleanderwood import key_hand_over
from oleanderwood import key_state
from oleanderwood import key_table
from oleanderwood import messages
from oleanderwood import node as nodes
from oleanderwood import roster as rosters
from oleanderwood import store
from oleanderwood import view as views

LOG = logging.getLogger('keys')

MAX_ATTEMPTS = 5
SETTLE_WAIT_S = 2.0
"""How long a stop waits for settlements under way."""


def claim(
    node: nodes.Node, request: idempotency.Claim
) -> idempotency.ClaimReply:
    """Answer a claim; only an owner in good standing grants."""
    if not key_state.owns(node.keys, node.view, nodes.now_s(node)):
        return idempotency.ClaimReply(idempotency.Answer.NOT_OWNER)
    wall_s = node.settings.wall_clock()
    return idempotency.claim(node.keys.ledger, request, wall_s)


def settle(
    node: nodes.Node, request: idempotency.Settlement
) -> messages.SettleReply:
    """Note how a request ended."""
    return messages.SettleReply(idempotency.settle(node.keys.ledger, request))


def receive(
    node: nodes.Node, request: idempotency.HandOver
) -> messages.HandOverReply:
    """Keep a bucket's records until the table shows the hand-over."""
    keys = node.keys
    able = key_state.owns(keys, node.view, nodes.now_s(node))
    if not able or keys.leaving:
        return messages.HandOverReply(False)
    idempotency.receive(keys.ledger, request)
    return messages.HandOverReply(True)


async def keep(node: nodes.Node) -> None:
    """Do one round: confirm own buckets, take others', share.

    Asks the store only if there is something to change.

    :raises errors.StoreUnavailable: the store didn't answer
    :raises errors.StoreConflict: others were faster each time
    """
    keys = node.keys
    view = node.view
    if keys.leaving or not views.vouches(view, nodes.now_s(node)):
        return
    owners = key_table.owners(node, view.roster)
    confirmed = keys.joins == view.joins
    if not confirmed or _wanted(keys, keys.table, owners):
        await _take(node)
        return
    await _share(node, owners)


async def leave(node: nodes.Node) -> bool:
    """Hand all buckets over before a planned stop.

    To be called when no request is in flight here, with the follower's
    tasks still running.

    :returns: whether the table names this process no more
    """
    keys = node.keys
    keys.leaving = True
    async with curio.ignore_after(SETTLE_WAIT_S):
        for task in tuple(keys.settling):
            await task.wait()
    silent = {keys.ledger.owner}
    for _ in range(MAX_ATTEMPTS):
        if not keys.ledger.held:
            return True
        others = key_table.owners(node, node.view.roster) - silent
        if not others:
            return False
        numbers = tuple(keys.ledger.held)
        try:
            silent |= await key_hand_over.run(node, numbers, others)
        except (errors.CallFailed, errors.StoreConflict) as error:
            LOG.warning('Buckets not handed over: %s.', error)
        await curio.sleep(node.settings.tick_s)
    return not keys.ledger.held


def _wanted(
    keys: key_state.Keys,
    table: buckets.Table | None,
    owners: frozenset[buckets.Owner],
) -> tuple[int, ...]:
    """Give the lost buckets that this entry is to take.

    All members rank a bucket's candidates alike, so few of them conflict.
    """
    if table is None:
        return tuple(range(buckets.BUCKETS))
    return tuple(
        number
        for number, bucket in enumerate(table.buckets)
        if bucket.owner not in owners
        and max(owners, key=lambda o: _rank(o, number), default=None)
        == keys.ledger.owner
    )


def _rank(owner: buckets.Owner, number: int) -> bytes:
    text = f'{owner.incarnation}/{number}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()


async def _take(node: nodes.Node) -> None:
    """Confirm own buckets after joining, and take lost ones."""
    keys = node.keys
    own = keys.ledger.owner
    for _ in range(MAX_ATTEMPTS):
        joins = node.view.joins
        table, version = await key_table.read(node)
        # Read after the table: an owner that came back since then has
        # swapped the table, so that ours conflicts.
        roster, _ = await change.read(
            node.store, store.ROSTER_KEY, rosters.EMPTY
        )
        owners = key_table.owners(node, roster)
        if own not in owners:
            return
        moves = []
        if keys.joins != joins and table is not None:
            moves = _confirmations(node, table)
        if table is not None:
            lost = _wanted(keys, table, owners)
            moves += [buckets.Move(number, own) for number in lost]
        if table is not None and not moves:
            keys.joins = joins
            return
        made = _first(node) if table is None else buckets.apply(table, moves)
        if await key_table.swap(node, made, version):
            keys.joins = joins
            LOG.info('Took %d buckets.', len(moves) or buckets.BUCKETS)
            return
    raise errors.StoreConflict(f'{MAX_ATTEMPTS} others were faster')


def _first(node: nodes.Node) -> buckets.Table:
    """Make the region's first table: no key has run before."""
    ledger = node.keys.ledger
    name = uuid.uuid4().hex
    made = buckets.create([ledger.owner])
    named = []
    for number, bucket in enumerate(made.buckets):
        empty = idempotency.HandOver(number, name, 0.0, 0.0, {}, {})
        idempotency.receive(ledger, empty)
        named.append(msgspec.structs.replace(bucket, hand_over=name))
    return buckets.Table(made.revision, tuple(named))


def _confirmations(
    node: nodes.Node, table: buckets.Table
) -> list[buckets.Move]:
    """Plan new epochs of own buckets, with the records that are known."""
    ledger = node.keys.ledger
    moves = []
    for number in buckets.orphans(table, {ledger.owner}):
        held = ledger.held.get(number)
        name = ''
        if held is not None and held.epoch == table.buckets[number].epoch:
            name = uuid.uuid4().hex
            sent = idempotency.hand_over(ledger, number, name)
            idempotency.receive(ledger, sent)
        moves.append(buckets.Move(number, ledger.owner, name))
    return moves


async def _share(node: nodes.Node, owners: frozenset[buckets.Owner]) -> None:
    """Hand over what others have too few of."""
    keys = node.keys
    own = keys.ledger.owner
    numbers = buckets.surplus(keys.table, own, owners)
    if numbers:
        await key_hand_over.run(node, numbers, owners - {own})
