"""A start that was decided by a ticket carries that ticket.

Guards against starts that are refused for a missing ticket while advice is
being renewed. A start is decided by a ticket that is valid for a few tenths of
a second more, and waits behind another order for its worker. The advice
expires and is requested again, which drops the tickets. If the start took its
ticket only when it was sent, it would be sent without one and refused, and the
refusal would make the new advice count as expired too.

Tickets are taken for expired earlier than by the platform so that starts in
flight can still use them.
"""

import curio

from emulator import day
from oleanderwood import clock
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.leading import advising
from oleanderwood.leading import dispatch
from oleanderwood.platform import advice
from oleanderwood.platform import executors
from tests import utils_jobs as build
from tests import utils_leading
from tests import utils_servers as servers

CONFIGURATION = day.configuration(('drafts',))

ANSWER_S = 0.3
"""Time that the advice service takes to answer."""


def test_start_under_way_carries_the_ticket_by_which_it_was_decided(
    monkeypatch,
):
    sent = []

    async def start(calls, at, order):
        sent.append(order.ticket)

    async def ask(calls, step, workers):
        await curio.sleep(ANSWER_S)
        return advice.Advised({'w1': 'second'}, 2.0)

    async def main(world):
        leader = await utils_leading.lead(world)
        ledgers.add(leader.ledger, build.job(build.step()), clock.now_s())
        task = build.task(leader.ledger)
        worker = build.worker(address=utils_leading.ADDRESS)
        leader.workers['w1'] = worker
        leader.orders['w1'] = curio.Queue()
        task.group.tickets = {'w1': 'first'}
        run = ledgers.begin_run(leader.ledger, task, 'w1', clock.now_s())
        worker.runs[task.name] = task
        asking = await curio.spawn(
            advising._request_advice, leader, None, task.group
        )
        await curio.sleep(ANSWER_S / 3)
        await dispatch._send_start(leader, worker, task, run)
        await asking.join()

    monkeypatch.setattr(executors, 'start', start)
    monkeypatch.setattr(advice, 'ask', ask)
    servers.run(main, CONFIGURATION)
    assert sent == ['first']
