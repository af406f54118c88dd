"""Tests of the signal that tasks may be startable."""

import curio

from oleanderwood.leading import state as states


def test_signals_name_their_pools_once():
    async def main():
        due = states.PoolSignal()
        await due.set('drafts')
        await due.set('finals')
        await due.wait(1.0)
        return due.take(), due.take()

    assert curio.run(main) == ({'drafts', 'finals'}, set())


def test_signal_without_a_pool_means_all():
    async def main():
        due = states.PoolSignal()
        await due.set('drafts')
        await due.set()
        return due.take(), due.take()

    assert curio.run(main) == (None, set())
