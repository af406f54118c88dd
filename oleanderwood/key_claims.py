"""Access to the owners of idempotency keys, for a request's entry."""

import dataclasses
import functools
import logging

import curio

from oleanderwood import errors
from oleanderwood import idempotency
from oleanderwood import ids
from oleanderwood import key_owner
from oleanderwood import key_state
from oleanderwood import node as nodes
from oleanderwood import once
from oleanderwood import roster as rosters
from oleanderwood import verdict as verdicts

LOG = logging.getLogger('keys')

SETTLE_PAUSES_S = (0.2, 0.5, 1.0, 2.0, 4.0)
"""Pauses between attempts at telling an owner how a request ended."""

WITHDRAW_S = 1.0
"""How long a claim whose answer was lost may still be under way."""


MOVING_S = 1.0
"""How long a request waits for a bucket that is on its way."""

PAUSE_S = 0.03

RUN = idempotency.Answer.RUN
NOT_OWNER = idempotency.Answer.NOT_OWNER


@dataclasses.dataclass
class _Asking:
    """A claim; ``in_doubt``: it may be granted without our knowledge."""

    key: ids.RequestKey
    claim: str
    fingerprint: str
    in_doubt: bool = False


def guard(node: nodes.Node) -> once.Guard:
    """Give what the request path uses."""
    return once.Guard(
        ask=functools.partial(ask, node),
        settle=functools.partial(settle, node),
    )


async def ask(
    node: nodes.Node, key: ids.RequestKey, claim: str, fingerprint: str
) -> idempotency.ClaimReply | None:
    """Ask the owner of a key whether a request may run.

    :param claim: new for each request
    :returns: ``None`` if the owner isn't known or doesn't answer; the
        request must not run
    """
    asking = _Asking(key, claim, fingerprint)
    until_s = nodes.now_s(node) + MOVING_S
    granted = False
    try:
        while True:
            found = key_state.owner_of(node.keys, node.view.roster, key)
            reply = await _ask(node, asking, found)
            granted = reply is not None and reply.answer is RUN
            if reply is not None and reply.answer is not NOT_OWNER:
                return reply
            if nodes.now_s(node) >= until_s:
                return reply
            await curio.sleep(PAUSE_S)
            # An owner that is out of reach and stays the owner is given up
            # on at once; one that is about to change is waited for.
            newer = key_state.owner_of(node.keys, node.view.roster, key)
            if reply is None and found is not None and newer == found:
                return None
    finally:
        if asking.in_doubt and not granted:
            withdrawn = idempotency.Settlement(
                key, claim, verdicts.Verdict.NOT_RUN
            )
            await _deliver_later(node, withdrawn, WITHDRAW_S)


async def _ask(
    node: nodes.Node,
    asking: _Asking,
    found: tuple[ids.Epoch, rosters.Member] | None,
) -> idempotency.ClaimReply | None:
    """Ask once. The same claim may be sent again: it is granted once."""
    if found is None:
        return None
    epoch, member = found
    request = idempotency.Claim(
        epoch, asking.key, asking.claim, asking.fingerprint
    )
    if key_state.owner(member) == node.keys.ledger.owner:
        return key_owner.claim(node, request)
    before = asking.in_doubt
    asking.in_doubt = True
    try:
        reply = await node.peers.claim(member.peer, request)
    except errors.CallFailed as error:
        LOG.info('%s does not answer claims: %s.', member.entry, error)
        if error.verdict is verdicts.Verdict.NOT_RUN:
            asking.in_doubt = before
        return None
    asking.in_doubt = before
    return reply


async def settle(node: nodes.Node, ended: idempotency.Settlement) -> None:
    """Tell the owner how a request ended, without waiting for it.

    What never arrives leaves the key ``MAY_HAVE_RUN``.
    """
    found = key_state.owner_of(node.keys, node.view.roster, ended.key)
    if found is not None:
        own = key_state.owner(found[1]) == node.keys.ledger.owner
        if own and key_owner.settle(node, ended).taken:
            return
    await _deliver_later(node, ended, 0.0)


async def _deliver_later(
    node: nodes.Node, ended: idempotency.Settlement, pause_s: float
) -> None:
    task = await curio.spawn(_deliver, node, ended, pause_s, daemon=True)
    node.keys.settling.add(task)


async def _deliver(
    node: nodes.Node, ended: idempotency.Settlement, pause_s: float
) -> None:
    task = await curio.current_task()
    try:
        for next_s in SETTLE_PAUSES_S:
            await curio.sleep(pause_s)
            if await _delivered(node, ended):
                return
            pause_s = next_s
        LOG.warning('The end of %s could not be told.', ended.claim)
    finally:
        node.keys.settling.discard(task)


async def _delivered(node: nodes.Node, ended: idempotency.Settlement) -> bool:
    found = key_state.owner_of(node.keys, node.view.roster, ended.key)
    if found is None:
        return False
    member = found[1]
    if key_state.owner(member) == node.keys.ledger.owner:
        return key_owner.settle(node, ended).taken
    try:
        reply = await node.peers.settle(member.peer, ended)
    except errors.CallFailed:
        return False
    return reply.taken
