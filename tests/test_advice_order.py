"""Tests of which step advice is asked about next.

Guards against steps that wait for good beside idle workers, as the advice
service answers a few questions a second and all of them are about other steps.
"""

import pytest

from emulator import day
from oleanderwood import clock
from oleanderwood import errors
from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.jobs import queues
from oleanderwood.leading import advising
from oleanderwood.platform import advice
from oleanderwood.pools import advice_order
from oleanderwood.tenants import model as tenants_
from oleanderwood import verdict as verdicts
from tests import utils_jobs as build
from tests import utils_leading
from tests import utils_servers as servers

BUSY = ids.ServiceId('drafts')
CALM = ids.ServiceId('finals')
QUESTION_S = 0.26
"""Time of a question that names eight workers."""


def _queue(service, name='') -> queues.Queue:
    return build.queue(
        name=name or f'q-{service}', service=service, needs_advice=True
    )


class _Scene:
    """A leader with two pools, whose questions are answered at once.

    :ivar asked: groups asked about so far
    """

    def __init__(self, leader, monkeypatch) -> None:
        self.patches = monkeypatch
        self.leader = leader
        self.asked: list[ledgers.Group] = []
        self.now_s = clock.now_s()
        self.count = 0
        self.refused: set[str] = set()
        monkeypatch.setattr(clock, 'now_s', lambda: self.now_s)

        async def ask(calls, step, workers):
            self.now_s += QUESTION_S
            tickets = {
                name: 'ticket'
                for name in workers
                if step.partition('.')[0] not in self.refused
            }
            return advice.Advised(tickets, 3.0)

        monkeypatch.setattr(advice, 'ask', ask)
        leader.workers.clear()
        for pool in (BUSY, CALM):
            for number in range(8):
                self.add_worker(f'{pool}-{number}', pool)

    def add_worker(self, name, pool, **fields):
        worker = build.worker(name, service=pool, **fields)
        self.leader.workers[ids.VmId(name)] = worker
        return worker

    def add_step(
        self, pool, step=None, tenant='', queue='', steps=1
    ) -> ledgers.Group:
        self.count += 1
        job = model.Job(
            ids.JobId(f'{self.count:016x}'),
            _queue(pool, queue),
            model.Work('text', (step or build.step(),) * steps),
            tenant=ids.TenantId(tenant),
        )
        entry = ledgers.add(self.leader.ledger, job, self.now_s)
        return entry.groups[0, 0]

    def fill(self, pool) -> None:
        """Let the workers of a pool have no room."""
        for name, worker in list(self.leader.workers.items()):
            if worker.entry.service == pool:
                group = self.add_step(pool, build.step(cpu=8000))
                build.start(
                    self.leader.ledger, group.tasks[0], worker, self.now_s
                )

    async def question(self) -> ledgers.Group | None:
        """Ask the next question, if one is due; return its step."""
        group = advising._next_step(self.leader)
        if group is None:
            self.now_s += advising.POLL_INTERVAL_S
            return None
        await advising._request_advice(self.leader, None, group)
        self.asked.append(group)
        return group


def _play(monkeypatch, play):
    async def main(world):
        leader = await utils_leading.lead(world)
        # Undone before the virtual clock is, which it replaces.
        with monkeypatch.context() as patches:
            return await play(_Scene(leader, patches))

    return servers.run(main, day.configuration(('drafts', 'finals')))


def test_step_with_room_is_asked_about_before_a_burst_without(monkeypatch):
    # The first steps of the burst were asked about again whenever their
    # tickets expired, before any later step was asked about at all.
    async def play(scene):
        scene.fill(BUSY)
        for _ in range(20):
            scene.add_step(BUSY, build.step(4, cpu=4000))
        for _ in range(30):
            await scene.question()
        calm = scene.add_step(CALM)
        assert await scene.question() is calm

    _play(monkeypatch, play)


@pytest.mark.parametrize(
    'hopeless',
    [
        {'cpu': 40_000},
        {'label': 'nobody-has-it'},
        {'cpu': 40_000, 'gang': True, 'tasks': 3},
    ],
)
def test_steps_that_can_never_start_cost_others_no_turn(monkeypatch, hopeless):
    # They wait for good, so that later steps were never asked about.
    async def play(scene):
        for _ in range(28):
            scene.add_step(BUSY, build.step(**hopeless))
        for _ in range(60):
            await scene.question()
        small = [scene.add_step(CALM) for _ in range(6)]
        asked = [await scene.question() for _ in range(6)]
        assert asked == small
        began_s, before = scene.now_s, len(scene.asked)
        for _ in range(200):
            await scene.question()
        rounds = (scene.now_s - began_s) / advice_order.HOPELESS_RETRY_S
        again = [row for row in scene.asked[before:] if row not in small]
        assert len(again) <= 28 * (1 + rounds)

    _play(monkeypatch, play)


def test_step_of_a_tenant_at_its_limit_costs_others_no_turn(monkeypatch):
    async def play(scene):
        limit = tenants_.Limit(1000, 0, 0)
        scene.leader.server.limits[ids.TenantId('full')] = limit
        running = scene.add_step(CALM, tenant='full')
        worker = scene.leader.workers['finals-0']
        build.start(scene.leader.ledger, running.tasks[0], worker, scene.now_s)
        for _ in range(20):
            scene.add_step(CALM, tenant='full')
        small = scene.add_step(CALM, tenant='other')
        assert await scene.question() is small
        assert await scene.question() is None

    _play(monkeypatch, play)


def test_queues_take_turns(monkeypatch):
    # Hundreds of steps that could start at once must not keep those of
    # another queue waiting for a minute.
    async def play(scene):
        for _ in range(100):
            scene.add_step(BUSY, build.step(cpu=1))
        for _ in range(5):
            await scene.question()
        calm = [scene.add_step(CALM) for _ in range(3)]
        asked = [await scene.question() for _ in range(6)]
        assert [row for row in asked if row in calm] == calm

    _play(monkeypatch, play)


def test_tenants_of_a_queue_take_turns(monkeypatch):
    async def play(scene):
        for _ in range(100):
            scene.add_step(BUSY, build.step(cpu=1), tenant='large')
        for _ in range(5):
            await scene.question()
        small = scene.add_step(BUSY, build.step(cpu=1), tenant='small')
        assert small in [await scene.question() for _ in range(2)]

    _play(monkeypatch, play)


def test_jobs_of_a_tenant_take_turns(monkeypatch):
    # One job of hundreds of steps, or often repeated, must not keep the small
    # jobs beside it waiting for a minute.
    async def play(scene):
        scene.add_step(BUSY, build.step(cpu=1), steps=100)
        for _ in range(5):
            await scene.question()
        small = [scene.add_step(BUSY, build.step(cpu=1)) for _ in range(3)]
        asked = [await scene.question() for _ in range(8)]
        assert [row for row in asked if row in small] == small

    _play(monkeypatch, play)


def test_each_step_that_could_start_is_asked_about_in_turn(monkeypatch):
    # Within a queue, the step goes first that has waited longest since it was
    # last asked about, also if tickets expire before all have had a turn.
    async def play(scene):
        steps = [scene.add_step(BUSY, build.step(cpu=1)) for _ in range(40)]
        for _ in range(80):
            await scene.question()
        assert scene.asked == steps * 2

    _play(monkeypatch, play)


def test_failed_question_does_not_come_again_at_once(monkeypatch):
    async def play(scene):
        first = scene.add_step(BUSY)
        other = scene.add_step(BUSY)

        async def fail(calls, step, workers):
            scene.now_s += 2 * advising.RETRY_S
            raise errors.CallFailed(verdicts.Verdict.MAY_HAVE_RUN, 'no answer')

        answer = advice.ask
        scene.patches.setattr(advice, 'ask', fail)
        assert await scene.question() is first
        scene.patches.setattr(advice, 'ask', answer)
        assert await scene.question() is other

    _play(monkeypatch, play)


def test_first_steps_that_wait_for_room_keep_their_tickets(monkeypatch):
    # Room would stay unused while the advice is asked.
    async def play(scene):
        scene.fill(BUSY)
        steps = [scene.add_step(BUSY) for _ in range(20)]
        for _ in range(60):
            await scene.question()
        assert set(scene.asked) == set(steps[: advice_order.MAX_PREFETCHED])

    _play(monkeypatch, play)


def test_room_on_workers_that_the_advice_refuses_is_none(monkeypatch):
    async def play(scene):
        refused = scene.add_step(CALM)
        scene.refused.add(refused.entry.job.job)
        assert await scene.question() is refused
        scene.now_s += advising.RETRY_S
        other = scene.add_step(CALM)
        assert await scene.question() is other
        assert await scene.question() is None

    _play(monkeypatch, play)


def test_steps_that_wait_for_a_first_answer_are_measured(monkeypatch):
    async def play(scene):
        scene.fill(BUSY)
        for _ in range(10):
            scene.add_step(BUSY)
        scene.add_step(CALM)
        advising._next_step(scene.leader)
        scene.now_s += 7.0
        advising._next_step(scene.leader)
        registry = advising.server_metrics.REGISTRY
        name = 'oleander_server_advice_waiting'
        assert [
            registry.get_sample_value(name, {'nearness': row.name.lower()})
            for row in advice_order.Nearness
        ] == [1, 8, 2, 0]
        wait_s = registry.get_sample_value(
            'oleander_server_advice_wait_seconds'
        )
        assert round(wait_s, 3) == 7.0

    _play(monkeypatch, play)
