"""Tests of keys at random: entries, faults and steps that interleave."""

import collections
import random

import curio
import pytest

from oleanderwood import errors
from oleanderwood import idempotency
from oleanderwood import key_claims
from oleanderwood import key_owner
from oleanderwood import key_table
from oleanderwood import membership
from oleanderwood import peer
from oleanderwood import verdict as verdicts
from tests import utils_idempotency
from tests import utils_keys as utils
from tests import utils_network
from tests import utils_store

NAMES = ('e1', 'e2', 'e3')
STEPS = 200
KEPT_KEYS = 3
FAILURES = (errors.CallFailed, errors.StoreConflict)


class Race:
    """Three entries whose calls take a random number of turns."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.network = utils_network.Network()
        self.clock = utils.Clock()
        self.nodes = utils.entries(self.network, self.clock, *NAMES)
        self.keys = []
        self.names = 0
        self.running = []
        self.starts = collections.Counter()
        self.not_runs = collections.Counter()
        self.joining = collections.Counter()
        self.tasks = set()

    def slow(self, call):
        async def later(*args):
            for _ in range(self.rng.choice((0, 1, 3, 9))):
                await curio.sleep(0)
            result = await call(*args)
            for _ in range(self.rng.choice((0, 1, 3))):
                await curio.sleep(0)
            return result

        return later

    def slow_down(self):
        plain = vars(utils_store.transport(self.network.fake))
        for node in self.nodes:
            calls = {name: self.slow(call) for name, call in plain.items()}
            node.store = utils_store.connect(self.network.fake, replaced=calls)
            node.peers = peer.Peers(
                **{n: self.slow(c) for n, c in vars(node.peers).items()}
            )

    async def ask(self, node):
        if not self.keys or self.rng.random() < 0.1:
            stamp_s = self.clock.now_s + self.rng.choice((-1.0, 0.0, 4.0))
            key = utils_idempotency.make_key(len(self.keys), stamp_s)
            self.keys.append(key)
        key = self.rng.choice(self.keys[-KEPT_KEYS:])
        self.names += 1
        name = str(self.names)
        if await utils.ask(node, key, name) is idempotency.Answer.RUN:
            self.starts[key] += 1
            assert self.starts[key] <= self.not_runs[key] + 1, key
            self.running.append((node, key, name))

    async def end(self, node):
        if not self.running:
            return
        at = self.rng.randrange(len(self.running))
        node, key, name = self.running.pop(at)
        not_run = self.rng.random() < 0.6
        verdict = verdicts.Verdict.NOT_RUN if not_run else verdicts.Verdict.RAN
        self.not_runs[key] += not_run
        ended = idempotency.Settlement(key, name, verdict, 200)
        await key_claims.settle(node, ended)

    async def rejoin(self, node):
        name = node.view.member.entry
        self.joining[name] += 1
        try:
            await membership.establish(node)
        finally:
            self.joining[name] -= 1

    async def lose(self, node):
        """Isolate an entry, prove it gone, and let the others take over."""
        name = node.view.member.entry
        if self.joining[name]:
            return
        self.joining[name] += 1
        try:
            utils.isolate(node)
            others = [other for other in self.nodes if other is not node]
            await utils.remove(others[0], node)
        finally:
            self.joining[name] -= 1
        for other in others:
            await key_owner.keep(other)

    async def keep(self, node):
        await key_owner.keep(node)

    async def read(self, node):
        await key_table.read(node)

    async def leave(self, node):
        await key_owner.leave(node)
        node.keys.leaving = False

    async def fault(self, node):
        fake = self.network.fake
        fake.drop_answers = self.rng.choice((0, 0, 1, 30))
        fake.hold_writes = self.rng.choice((0, 0, 0, 30))
        fake.down = self.rng.random() < 0.1
        self.network.cut.clear()
        if self.rng.random() < 0.3:
            self.network.cut.add(node.view.member.peer)

    async def late(self, node):
        utils_store.deliver_held(self.network.fake)

    async def later(self, node):
        self.clock.now_s += self.rng.choice((0.1, 1.0, 8.0))

    async def guarded(self, step, node):
        if step == 'rejoin' and self.joining[node.view.member.entry]:
            return
        try:
            await getattr(self, step)(node)
        except FAILURES:
            return

    async def main(self):
        await utils.settle_down(self.clock, *self.nodes)
        self.slow_down()
        steps = ['ask'] * 12 + ['end'] * 3 + ['keep', 'read', 'rejoin'] * 3
        steps += ['lose', 'leave', 'fault', 'late', 'later']
        for _ in range(STEPS):
            step = self.rng.choice(steps)
            node = self.rng.choice(self.nodes)
            task = await curio.spawn(self.guarded, step, node)
            self.tasks.add(task)
            for _ in range(self.rng.choice((0, 1, 2, 40))):
                await curio.sleep(0)
        for task in self.tasks:
            await task.join()
        for node in self.nodes:
            assert not +node.keys.ledger.breaches
            for task in tuple(node.keys.settling):
                await task.cancel()


@pytest.mark.parametrize('seed', range(50))
def test_no_key_runs_twice(seed, monkeypatch):
    monkeypatch.setattr(key_claims, 'SETTLE_PAUSES_S', (0.0,) * 5)
    monkeypatch.setattr(key_claims, 'WITHDRAW_S', 0.0)
    monkeypatch.setattr(key_claims, 'MOVING_S', 0.0)
    monkeypatch.setattr(key_claims, 'PAUSE_S', 0.0)
    race = Race(seed)
    curio.run(race.main)
    assert race.starts
