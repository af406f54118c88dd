"""Tests of buffer_swap."""

from oleanderwood import buffer_swap
from oleanderwood import reserve
from tests import utils_decisions


def test_fleet_without_pools_needs_no_swap():
    rows, sites = utils_decisions.fleet_of(('spare.a', 2))
    census = reserve.take_census((), rows, sites)
    assert buffer_swap.find(census, target=1, limit=4) == []
