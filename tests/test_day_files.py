"""The days of our own parse, say what they are after, and fit any site.

Those that users handed over lie beside them, as they came.
"""

import hashlib
import pathlib
import re
import tomllib

import pytest

ROOT = pathlib.Path(__file__).parent.parent

USERS_DAYS = {
    'deadly-task': (
        '2f719e7ff9a2a0c4fe7354aa688eaaf4ade910a9956d887afc91c99f225d75c0'
    ),
    'shrunk': (
        '7b3bed21c1999fed41c453f786fa6c8b3142e31a0e0d8c784441e2f712327ffb'
    ),
}
"""Days that users handed over, and the SHA-256 of each."""

FILES = sorted((ROOT / 'deploy' / 'days').glob('*.toml'))
DAYS = [path for path in FILES if path.stem not in USERS_DAYS]

DAY_KEYS = {'name', 'slot', 'seed', 'plan', 'faults', 'closing'}

ENTRY_KEYS = {
    'at',
    'kind',
    'for_s',
    'share',
    'count',
    'x',
    'gap_s',
    'how',
    'on',
    'zone',
    'service',
    'class',
}

PLACES = {'zone': '@z0', 'service': '@s0', 'class': '@c0'}
"""What stands for a site's first zone, service and kind of request."""

PLANNED = {'wave', 'roll_term'}

UNPLANNED = {
    'applied_late',
    'clock_step',
    'core_cut',
    'give_up',
    'herd_kill',
    'node_cut',
    'node_freeze',
    'node_kill',
    'platform_compact',
    'platform_down',
    'platform_lost',
    'platform_slow',
    'srv_crash',
    'srv_cut',
}

HOW_WORDS = set(
    'ahead all back busy cloud dark drain grants lapse late leader many nodes '
    'off one_way orders power prompt rack reborn renewed reset revoke servers '
    'silent taken'.split()
)

LAST_S = 34.0
"""How long the traffic of a day lasts."""

LEAST_COMMENT_LINES = 2

SITE_PATTERN = re.compile(r'"site": ?"([^"]+)"')


def _day(path):
    (day,) = tomllib.loads(path.read_text())['day']
    return day


def _entries(day):
    return [*day['plan'], *day['faults']]


def _words_of_sites():
    """Give the names of the sites that the journal's plays were made on."""
    words = set()
    for path in (ROOT / 'journal').glob('*.json'):
        for site in SITE_PATTERN.findall(path.read_text()):
            words.update(part for part in site.split('-') if len(part) > 4)
    return words


def test_there_are_days():
    assert 8 <= len(DAYS) <= 12


def test_days_of_users_are_as_they_came():
    found = {
        path.stem: hashlib.sha256(path.read_bytes()).hexdigest()
        for path in FILES
        if path not in DAYS
    }
    assert found == USERS_DAYS


@pytest.mark.parametrize('path', DAYS, ids=lambda path: path.stem)
def test_a_day_is_named_like_its_file_and_uses_known_keys(path):
    assert set(tomllib.loads(path.read_text())) == {'day'}
    day = _day(path)
    assert set(day) <= DAY_KEYS
    assert day['name'] == path.stem
    assert day['slot'] == 'trouble'
    assert day['faults']
    for entry in _entries(day):
        assert set(entry) <= ENTRY_KEYS, entry
        assert 0.0 < entry['at'] < LAST_S, entry
        assert not {'share', 'count'} <= set(entry), entry
        assert set(entry.get('how', '').split()) <= HOW_WORDS, entry


@pytest.mark.parametrize('path', DAYS, ids=lambda path: path.stem)
def test_planned_work_stands_apart(path):
    day = _day(path)
    assert {entry['kind'] for entry in day['plan']} <= PLANNED
    assert {entry['kind'] for entry in day['faults']} <= UNPLANNED


@pytest.mark.parametrize('path', DAYS, ids=lambda path: path.stem)
def test_a_day_says_what_it_is_after(path):
    lines = path.read_text().splitlines()
    head = [line for line in lines[: lines.index('[[day]]')] if line]
    assert len(head) >= LEAST_COMMENT_LINES
    assert all(line.startswith('# ') for line in head)
    assert 'After: ' in ' '.join(head)


@pytest.mark.parametrize('path', DAYS, ids=lambda path: path.stem)
def test_a_day_names_no_site(path):
    for entry in _entries(_day(path)):
        for key, stand_in in PLACES.items():
            assert entry.get(key, stand_in) == stand_in, entry
        assert entry.get('on', 'core') == 'core', entry
    text = path.read_text().lower()
    words = _words_of_sites()
    assert words
    assert not [word for word in words if word in text]


def test_each_day_has_a_seed_of_its_own():
    seeds = [_day(path)['seed'] for path in DAYS]
    assert len(set(seeds)) == len(seeds)
