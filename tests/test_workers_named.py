"""Advice is asked about the workers that have the label of a step.

A question names at most 100 workers. In a larger pool, the one worker with the
label was never named, so its step never began; and as it counted as new, the
same step was asked about again without pause, and no other step was.
"""

from emulator import day
from oleanderwood import clock
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.leading import advising
from oleanderwood.platform import advice
from tests import utils_jobs as build
from tests import utils_leading
from tests import utils_servers as servers

CONFIGURATION = day.configuration(('drafts',))


def _add_step(leader, label, name):
    queue = build.queue(needs_advice=True)
    work = model.Work('text', (build.step(label=label),))
    job = model.Job(name, queue, work)
    return ledgers.add(leader.ledger, job, clock.now_s()).groups[0, 0]


def test_worker_with_the_label_is_named_in_a_large_pool(monkeypatch):
    asked = []

    async def ask(calls, step, workers):
        asked.append(workers)
        return advice.Advised({'w1': 'ticket'}, 2.0)

    async def main(world):
        leader = await utils_leading.lead(world)
        leader.workers.clear()
        for number in range(advice.MOST_WORKERS):
            name = f'w{number}'
            leader.workers[name] = build.worker(name, labels=('b',))
        leader.workers['last'] = build.worker('last', labels=('a',))
        first = _add_step(leader, 'a', '0' * 16)
        other = _add_step(leader, '', '1' * 16)
        assert advising._next_step(leader) is first
        await advising._request_advice(leader, None, first)
        assert 'last' in asked[0]
        assert len(asked[0]) == advice.MOST_WORKERS
        assert advising._next_step(leader) is other

    monkeypatch.setattr(advice, 'ask', ask)
    servers.run(main, CONFIGURATION)
