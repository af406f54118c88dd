"""Tests of difference: what changes between two files."""

from oleanderwood import configuration
from oleanderwood import difference
from tests import utils_configuration as build


def test_diff_names_each_field():
    before = build.whole()
    after = build.whole(
        pools=(build.pool(size=7),),
        teams=(build.team('office'),),
        jobs=(),
        weights=configuration.Weights(moves=3.0),
    )
    changes = difference.diff(before, after)
    assert [(c.section, c.name, c.kind.value) for c in changes] == [
        ('pools', 'drafts', 'changed'),
        ('teams', 'crews', 'removed'),
        ('teams', 'office', 'added'),
        ('jobs', 'layout', 'removed'),
        ('weights', '', 'changed'),
    ]
    assert changes[0].fields == (difference.FieldChange('size', 6, 7),)
    assert difference.summary(changes).startswith('pools changed: drafts')


def test_diff_of_reordered_file_is_empty():
    one, two = build.team('a'), build.team('b')
    before, after = (
        build.whole(teams=(one, two)),
        build.whole(teams=(two, one)),
    )
    assert difference.diff(before, after) == ()
    assert difference.summary(()) == 'nothing'
