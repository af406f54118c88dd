"""Tests of what is said, and remembered, of entries that are refused."""

import curio

from emulator import day
from emulator import store as stores
from oleanderwood.pools import entries as entries_
from oleanderwood import server_metrics
from tests import utils_entries as build
from tests import utils_leading as leading
from tests import utils_servers

KEY = 'servers/i-1'


def _counted(why):
    return server_metrics.ENTRIES_REFUSED.labels(why)._value.get()


def _lines(events, event):
    return [row for part, name, row in events if (part, name) == event]


def _play(monkeypatch, values):
    """Let entries be written one after another; gives what is logged."""
    events = leading.record_events(monkeypatch)

    async def main(world):
        await leading.lead(world)
        for value in values:
            await stores.put(world.store, KEY, value)
            await curio.sleep(0.2)

    utils_servers.run(main, day.configuration())
    return events


def test_refused_entry_is_said_once_and_counted_each_time(monkeypatch):
    before = _counted('state')
    values = [build.encode(state='banana', seq=seq) for seq in range(20)]
    events = _play(monkeypatch, values)
    lines = _lines(events, ('worker', 'malformed'))
    assert len(lines) == 1
    assert lines[0]['worker'] == 'i-1'
    assert lines[0]['fault'] == 'state'
    assert 'banana' in lines[0]['why']
    assert not lines[0]['known']
    assert _counted('state') == before + 20


def test_refused_entry_is_said_again_when_its_reason_changes(monkeypatch):
    values = [
        build.encode(state='banana'),
        build.without('zone'),
        build.without('zone'),
        build.encode(service='nowhere'),
        build.encode(),
        build.without('zone'),
    ]
    events = _play(monkeypatch, values)
    malformed = _lines(events, ('worker', 'malformed'))
    assert [row['fault'] for row in malformed] == [
        'state',
        'malformed',
        'malformed',
    ]
    assert malformed[-1]['known']
    named = _lines(events, ('worker', 'not-named'))
    assert [row['fault'] for row in named] == ['service']
    assert len(_lines(events, ('worker', 'met'))) == 1


def test_line_is_short_whatever_the_entry_holds(monkeypatch):
    values = [
        build.encode(state='s' * 60_000),
        build.encode(addr='a' * 60_000),
        build.encode(service='n' * 1000),
        b'[' * 60_000,
    ]
    events = _play(monkeypatch, values)
    lines = [
        row
        for part, event, row in events
        if event in ('malformed', 'not-named')
    ]
    assert len(lines) == 4
    assert all(len(str(row)) < 400 for row in lines)


def test_memory_of_refused_entries_is_bounded():
    book = entries_.UnusedEntries()
    most = entries_.MAX_REFUSED
    told = [
        entries_.record_refusal(book, f'i-{number}', 'why')
        for number in range(most + 50)
    ]
    assert sum(told) == most == len(book.refused)
    entries_.forget(book, 'i-0')
    assert entries_.record_refusal(book, f'i-{most}', 'why')
    entries_.forget_unlisted(book, ['i-1'])
    assert set(book.refused) == {'i-1'}
