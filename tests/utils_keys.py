"""Entries that own idempotency keys, driven step by step."""

import curio

from oleanderwood import buckets
from oleanderwood import codec
from oleanderwood import idempotency
from oleanderwood import key_claims
from oleanderwood import key_owner
from oleanderwood import key_table
from oleanderwood import membership
from oleanderwood import roster
from oleanderwood import verdict as verdicts
from oleanderwood import view as views
from tests import utils_idempotency
from tests import utils_membership
from tests import utils_network
from tests import utils_store

ROUNDS = 4


class Clock:
    """A wall clock that tests set."""

    def __init__(self):
        self.now_s = utils_idempotency.START_S

    def __call__(self):
        return self.now_s


def entries(network, clock, *names):
    """Add entries that share a wall clock."""
    return [
        utils_network.add(network, name, wall_clock=clock) for name in names
    ]


async def settle_down(clock, *nodes):
    """Let entries join and share the buckets; then time passes."""
    for node in nodes:
        await membership.establish(node)
    for _ in range(ROUNDS):
        await keep_all(*nodes)
    clock.now_s += 100.0


async def keep_all(*nodes):
    """Do one round of each entry, as its follower would."""
    for node in nodes:
        await membership.establish(node)
        await key_owner.keep(node)
    for node in nodes:
        await key_table.read(node)


async def remove(node, gone):
    """Take a process off the roster, as if it was proven gone."""
    incarnation = gone.view.member.incarnation
    await membership.change_roster(
        node, lambda found: roster.leave(found, incarnation)
    )


def isolate(node):
    """Let an entry's contact be too old from now on."""
    node.view.contact_s = -1e9


def table(network):
    """Read the table from the store."""
    key = buckets.table_key(utils_membership.REGION)
    return codec.unpack(utils_store.body(network.fake, key), buckets.Table)


def key_owned_by(node, clock, first=0, among=None):
    """Make a new key whose bucket an entry owns, stamped now."""
    for number in range(first, first + 10_000):
        key = utils_idempotency.make_key(number, clock.now_s)
        if buckets.bucket_of(key) in (among or node.keys.ledger.held):
            return key
    raise AssertionError('it owns no bucket')


async def ask(node, key, name, of='f'):
    """Claim a key through an entry; give the answer, None for none."""
    reply = await key_claims.ask(node, key, name, of)
    return None if reply is None else reply.answer


async def settle(node, key, name, verdict=verdicts.Verdict.RAN, body=b'x'):
    """Tell the owner how a request ended, and wait until it knows."""
    ended = idempotency.Settlement(key, name, verdict, 200, body)
    await key_claims.settle(node, ended)
    async with curio.timeout_after(5.0):
        while node.keys.settling:
            await curio.sleep(0.005)


def held(node):
    """Give the numbers of the buckets that an entry may grant in."""
    if not views.vouches(node.view, node.settings.clock()):
        return set()
    return {n for n, h in node.keys.ledger.held.items() if not h.frozen}
