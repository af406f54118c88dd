"""Tests of when a leader lets another server lead."""

import msgspec

from emulator import day
from emulator import servers
from emulator import troubles
from oleanderwood.leading import leadership_transfer
from oleanderwood.leading import roles as roles_
from oleanderwood.leading import worker_loop


def _overloaded(now_s=10.0):
    pulse = leadership_transfer.TimerLateness()
    for number in range(60):
        leadership_transfer.measure(pulse, 0.5, now_s - 3.0 + number * 0.05)
    return pulse


def test_small_leader_yields_to_a_larger_server():
    calm = leadership_transfer.TimerLateness()
    assert leadership_transfer.reason(calm, 0.5, [0.5, 2.0], 5.0, 10.0)
    assert not leadership_transfer.reason(calm, 0.5, [0.5, 0.6], 5.0, 10.0)


def test_young_leader_and_lone_leader_go_on():
    calm = leadership_transfer.TimerLateness()
    assert not leadership_transfer.reason(calm, 0.5, [2.0], 0.5, 10.0)
    assert not leadership_transfer.reason(_overloaded(), 0.5, [], 5.0, 10.0)


def test_overloaded_leader_yields_to_an_equal_server_only_after_a_while():
    pulse = _overloaded()
    assert leadership_transfer.reason(pulse, 1.0, [1.0], 5.0, 10.0)
    assert not leadership_transfer.reason(pulse, 2.0, [1.0], 5.0, 10.0)
    fresh = leadership_transfer.TimerLateness()
    leadership_transfer.measure(fresh, 9.0, 10.0)
    assert not leadership_transfer.reason(fresh, 1.0, [1.0], 5.0, 10.5)


def test_single_late_timers_are_no_overload():
    pulse = leadership_transfer.TimerLateness()
    for number in range(100):
        late_s = 0.3 if number % 10 == 0 else 0.01
        leadership_transfer.measure(pulse, late_s, number * 0.05)
    assert pulse.overloaded_since_s is None


def test_larger_servers_stand_before_smaller_ones_in_line():
    roles = roles_.Roles()
    for name, cores in (('a', 0.5), ('b', 2.0), ('c', 0.5)):
        roles.servers[name] = roles_.Server(name, name, '1:1', cores)
    line = [roles_.candidate_rank(roles, name) for name in 'abc']
    assert line == [1, 0, 2]
    roles.leader = roles_.Leader(1, 'b', 'b', '1:1')
    assert [roles_.candidate_rank(roles, name) for name in 'abc'] == [0, 2, 1]


def test_day_with_servers_of_two_sizes_is_led_by_the_large_one(monkeypatch):
    real = servers.settings_of

    def settings_of(process):
        share = 1.0 if process.name == 's2' else 0.25
        return msgspec.structs.replace(real(process), cpu_share=share)

    monkeypatch.setattr(servers, 'settings_of', settings_of)
    wave = troubles.Trouble(troubles.Kind.WAVE, 2.0)
    result = day.play(day.Plan(9, troubles=(wave,)))
    assert not result.breaches and not result.unfinished
    terms = [
        (sight.attempt, sight.by)
        for sight in result.evidence.sights
        if sight.kind.value == 'ordered'
    ]
    assert terms and {name for _term, name in terms} == {'s2'}


def test_late_timers_lengthen_what_answers_may_take():
    calm_s = worker_loop.timeout_s(lossy=False, late_s=0.0)
    assert worker_loop.timeout_s(lossy=True, late_s=0.0) < calm_s
    assert worker_loop.timeout_s(lossy=True, late_s=0.5) > 2.0
