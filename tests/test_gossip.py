"""Tests of gossip."""

import curio
import pytest

from oleanderwood import gossip
from oleanderwood import messages
from oleanderwood import peer_loads
from oleanderwood import roster
from tests import utils_membership as build
from tests import utils_network

USUAL_S = 0.01
REST_S = USUAL_S * gossip.REST_SLOWER


def _two(**settings):
    """Make two entries that know each other and hold grants, at 100 s."""
    network = utils_network.Network()
    clock = {'clock': lambda: 100.0}
    one = utils_network.add(network, 'e1', **clock, **settings)
    two = utils_network.add(network, 'e2', **clock)
    members = tuple(node.view.member for node in (one, two))
    for node in (one, two):
        node.view.roster = roster.Roster(1, members)
        node.view.granted = True
        node.view.contact_s = 99.9
        node.view.grants.shards['dc-1'] = build.shard(1)
    return one, two


def test_gossip_is_slower_at_rest():
    one, two = _two()
    curio.run(gossip.tell_next, one)
    assert gossip.pause_s(one) == gossip.pause_s(two) == REST_S


def test_loads_in_flight_make_both_sides_gossip_as_usual():
    load = messages.Load('vm-1', 1)
    one, two = _two(give_loads=lambda: (load,))
    curio.run(gossip.tell_next, one)
    assert gossip.pause_s(one) == gossip.pause_s(two) == USUAL_S


def test_loads_that_a_peer_replies_count_too():
    load = messages.Load('vm-1', 1)
    one, two = _two(give_loads=lambda: (load,))
    curio.run(gossip.tell_next, two)
    assert two.neighbours.loads_s == 100.0
    assert gossip.pause_s(two) == USUAL_S


@pytest.mark.parametrize(
    'name, value',
    [('contact_s', 99.4), ('granted', False), ('sponsor', 'other')],
)
def test_an_entry_that_does_not_stand_well_gossips_as_usual(name, value):
    one, _ = _two()
    setattr(one.view, name, value)
    assert gossip.pause_s(one) == USUAL_S


def test_a_staged_revision_is_gossiped_as_usual():
    one, _ = _two()
    one.view.config.stages['apply-2'] = None
    assert gossip.pause_s(one) == USUAL_S


def test_loads_do_not_age_at_rest():
    assert gossip.REST_ROTATION_S * 1.1 < peer_loads.MAX_AGE_S


def test_more_peers_are_gone_through_as_fast_as_usual():
    one, _ = _two()
    names = [f'e{number}' for number in range(1, 2000)]
    members = tuple(build.member(name) for name in names)
    one.view.roster = roster.Roster(1, members)
    assert gossip.pause_s(one) == USUAL_S
