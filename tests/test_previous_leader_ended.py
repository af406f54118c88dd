"""How long a new leader waits for tasks started by an earlier one.

If it waits too briefly, two runs of one task take place at the same time
(`test_cut_off_half`). If it waits too long, tasks stand still when a worker
does not answer. An earlier leader acts for at most twelve seconds after its
last renewal; the next one waits for that only while it does not know that the
earlier one has ended.
"""

import curio

from emulator import servers
from oleanderwood.leading import confirmation
from oleanderwood.leading import previous_leaders
from oleanderwood.leading import roles
from oleanderwood.pools import fences
from tests import utils_leading
from tests import utils_takeover as build

TAKEOVER_S = 3.0
"""Longer than a lease, an election and a round of calls, in seconds."""

RESTART_S = 2.0
"""Time after which a killed process runs again, in seconds; another server
leads by then."""


def _next_leader(scene, earlier):
    process = next(
        row
        for row in scene.processes
        if row is not earlier and servers.leads(row)
    )
    return process.state.leader


def _max_lease_wait_s(leader, now_s):
    return max(row.lease_end_s for row in leader.workers.values()) - now_s


async def _cut_off_one_worker(scene, earlier):
    """Make a busy worker reachable from the leader only."""
    await build.submit_job(scene, earlier, build.step(1, 16000, 22_000))
    await curio.sleep(1.0)
    build.cut_off_runs(scene, earlier)


def test_leader_that_hands_over_costs_no_long_wait():
    seen = []

    async def scenario(scene):
        earlier = build.leader(scene)
        handed_over = earlier.state.leader.term
        await _cut_off_one_worker(scene, earlier)
        earlier.state.stopping = True
        await curio.sleep(0.5)
        leader = _next_leader(scene, earlier)
        seen.append(leader.server.roles.ended_term == handed_over)
        seen.append(_max_lease_wait_s(leader, await curio.clock()))

    build.play(scenario)
    settled, wait_s = seen
    assert settled
    assert wait_s < previous_leaders.SHORT_WAIT_S + 5.2


def test_dead_process_that_starts_again_costs_no_long_wait():
    """The restarted process answers at its address and reports its age."""
    seen = []

    async def scenario(scene):
        earlier = build.leader(scene)
        await _cut_off_one_worker(scene, earlier)
        await build.kill(scene, earlier)
        await curio.sleep(RESTART_S)
        await servers.start(scene.network, earlier)
        await curio.sleep(TAKEOVER_S - RESTART_S)
        leader = build.leader(scene).state.leader
        seen.append(_max_lease_wait_s(leader, await curio.clock()))

    build.play(scenario)
    assert seen[0] < previous_leaders.SHORT_WAIT_S + 5.2


def test_refused_connection_is_no_proof_of_an_end():
    """A network cut can refuse connections too, so the leader must wait."""
    seen = []

    async def scenario(scene):
        earlier = build.leader(scene)
        await _cut_off_one_worker(scene, earlier)
        await build.kill(scene, earlier)
        await curio.sleep(TAKEOVER_S)
        leader = _next_leader(scene, earlier)
        seen.append(_max_lease_wait_s(leader, await curio.clock()))

    build.play(scenario)
    assert seen[0] > confirmation.MAX_UNREACHED_S


def test_leader_that_does_not_answer_is_waited_for():
    seen = []

    async def scenario(scene):
        earlier = build.leader(scene)
        await _cut_off_one_worker(scene, earlier)
        rest = [row for row in scene.processes if row is not earlier]
        for process in rest:
            scene.network.cuts.add((process.name, earlier.address))
            scene.network.cuts.add((earlier.name, process.address))
        scene.network.cuts.add((earlier.name, servers.STORE_ADDRESS))
        await curio.sleep(TAKEOVER_S)
        leader = _next_leader(scene, earlier)
        seen.append(_max_lease_wait_s(leader, await curio.clock()))

    build.play(scenario)
    assert seen[0] > confirmation.MAX_UNREACHED_S


def test_later_leader_knows_which_have_ended():
    """Each leader stores that all leaders before it have ended."""
    seen = []

    async def scenario(scene):
        earlier = build.leader(scene)
        earlier.state.stopping = True
        await curio.sleep(1.0)
        item = scene.store.items[roles.ENDED_KEY]
        seen.append(int(item.value))

    build.play(scenario)
    assert seen == [fences.next_term(0)]


def test_former_leader_ends_its_term_when_a_later_one_asks():
    seen = []

    async def scenario(scene):
        earlier = build.leader(scene)
        state = earlier.state
        leader = state.leader
        answer = await confirmation.answer_contact(
            state, f'{confirmation.CONTACT_PATH}/{leader.term}'
        )
        seen.append(answer.leading_term == leader.term)
        answer = await confirmation.answer_contact(
            state, f'{confirmation.CONTACT_PATH}/{leader.term + 1}'
        )
        seen.append(answer.leading_term == 0 and bool(leader.deposed))

    build.play(scenario)
    assert seen == [True, True]


def test_outage_with_an_unreachable_server_stops_no_leader():
    """Users reported outages of 9.5 s; often one server is unreachable too."""
    acted = []

    async def scenario(scene):
        leader = build.leader(scene)
        dark = next(row for row in scene.processes if row is not leader)
        for process in scene.processes:
            scene.network.cuts.add((process.name, dark.address))
        scene.store.down = 'silent'
        for _ in range(95):
            await curio.sleep(0.1)
            acted.append(build.may_act(leader))
        scene.store.down = ''

    build.play(scenario)
    assert acted and acted.count(False) <= 2


def test_leader_acts_no_longer_than_it_is_waited_for():
    """An outage longer than the bound stops the leader."""
    acted = []

    async def scenario(scene):
        leader = build.leader(scene)
        scene.store.down = 'silent'
        await curio.sleep(confirmation.MAX_UNREACHED_S + 0.1)
        acted.append(build.may_act(leader))
        scene.store.down = ''
        await curio.sleep(5.0)
        acted.append(any(map(build.may_act, scene.processes)))

    build.play(scenario)
    assert acted == [False, True]


def test_server_that_was_asked_while_it_took_over_does_not_begin(monkeypatch):
    """It answered that it does not lead, so no other leader waits for it."""
    events = utils_leading.record_events(monkeypatch)
    terms = [fences.next_term(0)]
    for _ in range(3):
        terms.append(fences.next_term(terms[-1]))

    async def scenario(scene):
        earlier = build.leader(scene)
        last = next(row for row in scene.processes if row is not earlier)
        answer = await confirmation.answer_contact(
            last.state, f'{confirmation.CONTACT_PATH}/{terms[-1]}'
        )
        assert answer.leading_term == 0
        for process in scene.processes:
            if process is not last:
                await build.kill(scene, process)
        await curio.sleep(TAKEOVER_S)

    build.play(scenario)
    gave_up = [
        fields['term']
        for part, event, fields in events
        if (part, event) == ('leader', 'gave-up')
    ]
    assert gave_up == terms[1:3]
