"""Tests of invariants."""

import prometheus_client

from oleanderwood import invariants


def test_breach_is_counted_and_shown():
    registry = prometheus_client.CollectorRegistry()
    state = invariants.create(registry)
    assert invariants.check(state, True, 'a', 'fine')
    assert not invariants.check(state, False, 'a', 'wrong')
    name = 'oleander_invariant_breaches_total'
    assert registry.get_sample_value(name, {'invariant': 'a'}) == 1
    recent = [{'invariant': 'a', 'detail': 'wrong'}]
    assert invariants.dump(state) == {'breaches': 1, 'recent': recent}
