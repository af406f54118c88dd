"""Count of the faults that the random tests try: ``-m tests.fault_counts``.

The tests run as ever, with the functions that make the faults wrapped. A
number as argument runs so many longer schedules for the controllers more.
"""

import collections
import logging
import sys
import unittest.mock

from tests import defects_controller
from tests import test_proxy_random
from tests import test_region_faults
from tests import test_rollout
from tests import test_store_faults
from tests import utils_rollout
from tests import utils_schedules
from tests import utils_store


class Chooser:
    """A random source that counts what upstreams are told to do."""

    def __init__(self, rng, counts):
        self.rng = rng
        self.counts = counts

    def choice(self, options):
        """Choose as the source does."""
        chosen = self.rng.choice(options)
        self.counts[chosen] += 1
        return chosen


def region():
    """Count the actions of the schedules for two controllers."""
    counts = collections.Counter()
    act, run = utils_schedules.act, utils_schedules.run

    async def counted_act(run, action, number):
        counts[action] += 1
        await act(run, action, number)

    async def counted_run(schedule):
        counts['schedules'] += 1
        await run(schedule)

    patch = unittest.mock.patch.object
    with patch(utils_schedules, 'act', counted_act):
        with patch(utils_schedules, 'run', counted_run):
            test_region_faults.test_no_harm_under_faults_and_the_wave_ends()
    return counts


def store():
    """Count the faults of the store under two clients."""
    counts = collections.Counter()
    write, lapse = utils_store._write, utils_store.lapse

    def counted_write(fake, effect):
        kind = 'answered'
        if fake.down:
            kind = 'store down'
        elif fake.hold_writes:
            kind = 'late'
        elif fake.drop_answers:
            kind = 'answer lost'
        counts[kind] += 1
        return write(fake, effect)

    def counted_lapse(fake, lease):
        counts['lease lapsed'] += 1
        return lapse(fake, lease)

    patch = unittest.mock.patch.object
    with patch(utils_store, '_write', counted_write):
        with patch(utils_store, 'lapse', counted_lapse):
            test_store_faults.test_writers_are_told_what_is_so()
    return counts


def requests():
    """Count what the upstreams of the random requests do."""
    counts = collections.Counter()
    failing, one = test_proxy_random.failing, test_proxy_random.one

    def counted_failing(rng, runs):
        return failing(Chooser(rng, counts), runs)

    async def counted_one(*arguments):
        counts['requests'] += 1
        await one(*arguments)

    patch = unittest.mock.patch.object
    with patch(test_proxy_random, 'failing', counted_failing):
        with patch(test_proxy_random, 'one', counted_one):
            for idempotent in (False, True):
                test_proxy_random.test_what_callers_are_told_is_true(
                    idempotent
                )
    return counts


def applies():
    """Count the steps of racing applies, and the answers that are lost."""
    counts = collections.Counter()
    carry_out, begin = utils_rollout.carry_out, utils_rollout.begin

    def counted_carry_out(world, operator, action, lost):
        counts['answer lost' if lost else 'answered'] += 1
        return carry_out(world, operator, action, lost)

    def counted_begin(*arguments):
        counts['applies'] += 1
        return begin(*arguments)

    patch = unittest.mock.patch.object
    with patch(utils_rollout, 'carry_out', counted_carry_out):
        with patch(utils_rollout, 'begin', counted_begin):
            test_rollout.test_rollout_holds()
    return counts


def drawn(many):
    """Run schedules of 60 actions; print and count those that fail."""
    failed = 0
    for seed in range(1, many + 1):
        fault = defects_controller.fault_of('', seed)
        if fault:
            failed += 1
            print(f'seed {seed}: {fault}')
    print(f'drawn schedules: {many} run, {failed} failed')
    return failed


def main(many):
    """Print the counts; give the exit status."""
    logging.disable()
    for count in (region, store, requests, applies):
        found = count()
        text = ', '.join(f'{kind} {n:,}' for kind, n in found.most_common())
        print(f'{count.__name__}: {text}')
    return bool(many and drawn(many))


if __name__ == '__main__':
    sys.exit(main(int(sys.argv[1]) if sys.argv[1:] else 0))
