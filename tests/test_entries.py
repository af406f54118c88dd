"""Tests of which entries name a worker, and which are refused and why."""

import hypothesis
from hypothesis import strategies
import pytest

from oleanderwood.platform import entries
from oleanderwood.pools import entries as entries_
from tests import utils_entries as build

KEY = 'servers/i-7f3a91c2'
Fault = entries_.Fault

SPOILED = {
    # What was taken for a worker before entries were checked stands first.
    'a state that is not named': (build.encode(state='banana'), Fault.STATE),
    'no state': (build.without('state'), Fault.MALFORMED),
    'an empty address': (build.encode(addr=''), Fault.ADDRESS),
    'words for an address': (build.encode(addr='no address'), Fault.ADDRESS),
    'less than nothing': (
        build.encode(capacity={'cpu': -5, 'mem_mb': 1, 'gpu': 0}),
        Fault.CAPACITY,
    ),
    'more than there is': (
        build.encode(capacity={'cpu': 10**12, 'mem_mb': 1, 'gpu': 0}),
        Fault.CAPACITY,
    ),
    'no capacity': (build.encode(capacity={}), Fault.MALFORMED),
    'no service': (build.encode(service=''), Fault.SERVICE),
    'a list': (b'[]', Fault.MALFORMED),
    'no bytes': (b'', Fault.MALFORMED),
    'no text': (b'\xff\xfe{', Fault.MALFORMED),
    'half of an entry': (build.encode()[:60], Fault.MALFORMED),
    'numbers for labels': (build.encode(labels=[1, 2]), Fault.MALFORMED),
    'a number of six thousand digits': (
        build.encode().replace(b'16000', b'9' * 6000),
        Fault.MALFORMED,
    ),
    'lists within lists': (
        b'{"x":' + b'[' * 20_000 + b']' * 20_000 + b'}',
        Fault.MALFORMED,
    ),
    'more bytes than an entry has': (
        build.encode(more='x' * entries.MAX_ENTRY_BYTES),
        Fault.TOO_LONG,
    ),
    'a long zone': (build.encode(zone='z' * 1000), Fault.TOO_LONG),
    'many labels': (build.encode(labels=['a'] * 1000), Fault.TOO_LONG),
    'a long label': (build.encode(labels=['a' * 1000]), Fault.TOO_LONG),
    'a long service': (build.encode(service='s' * 5000), Fault.TOO_LONG),
}

NO_ADDRESSES = (
    'localhost:80',
    '10.0.0.1',
    '10.0.0.1:',
    '10.0.0.1:0',
    '10.0.0.1:-1',
    '10.0.0.1:+80',
    '10.0.0.1:080',
    '10.0.0.1:65536',
    '10.0.0.1:80 ',
    '10.0.0.1:80\n',
    '10.0.0.256:80',
    '10.0.0.01:80',
    '10.0.0:80',
    '10.0.0.1.2:80',
    '0.0.0.0:80',
    '224.0.0.1:80',
    '255.255.255.255:80',
    '[::1]:80',
    '10.0.0.1:٣٣',
    'http://10.0.0.1:80',
)

NO_IDS = ('', 'two words', 'line\r\nhost: x', 'ü', 'a/b', 'x' * 193)


def _fault(key, value):
    with pytest.raises(entries_.BadEntry) as caught:
        entries.decode(key, value)
    assert len(caught.value.reason) <= entries_.MAX_REASON_CHARS
    return caught.value.fault


@pytest.mark.parametrize('name', SPOILED)
def test_spoiled_entry_is_refused(name):
    value, fault = SPOILED[name]
    assert _fault(KEY, value) is fault


@pytest.mark.parametrize('name', build.REQUIRED)
def test_entry_that_lacks_a_field_is_refused(name):
    assert _fault(KEY, build.without(name)) is Fault.MALFORMED


@pytest.mark.parametrize('name', build.REQUIRED)
def test_field_of_another_type_is_refused(name):
    assert _fault(KEY, build.encode(**{name: None})) is Fault.MALFORMED


@pytest.mark.parametrize('address', NO_ADDRESSES)
def test_address_that_can_not_be_called_is_refused(address):
    assert _fault(KEY, build.encode(addr=address)) is Fault.ADDRESS


@pytest.mark.parametrize('name', NO_IDS)
def test_key_that_is_no_id_is_refused(name):
    assert _fault(f'servers/{name}', build.encode()) is Fault.KEY


def test_good_entries_are_taken():
    entry = entries.decode(KEY, build.encode())
    assert entry.worker == 'i-7f3a91c2'
    assert entry.address == '10.128.0.9:8080'
    assert entry.capacity.cpu_millicores == 16000
    assert entry.labels == ('a', 'r1-3')
    assert not entry.draining
    leaving = build.encode(state='draining', remaining_ms=1500.5, machine='m')
    entry = entries.decode(KEY, leaving)
    assert entry.draining and entry.machine == 'm'
    assert entries.decode(KEY, build.encode(new={'field': [1]}))
    assert entries.decode(KEY, build.encode(cold_left_ms=12.5, labels=[]))
    assert entries.decode(KEY, build.encode(service='s' * 300))
    no_gpu = {'cpu': 1, 'mem_mb': 1}
    assert entries.decode(KEY, build.encode(capacity=no_gpu))
    for address in ('127.0.0.1:1', '1.2.3.4:65535', '10.200.1.9:8621'):
        assert entries.decode(KEY, build.encode(addr=address))


@hypothesis.settings(max_examples=500)
@hypothesis.given(
    strategies.just('i-1') | strategies.text(max_size=20), build.VALUES
)
def test_any_entry_is_sound_or_refused(name, value):
    try:
        entry = entries.decode(f'servers/{name}', value)
    except entries_.BadEntry as error:
        assert len(error.reason) <= entries_.MAX_REASON_CHARS
        return
    entry.worker.encode('ascii')
    entry.address.encode('ascii')
    assert entries.can_be_called(entry.address)
    assert entry.service
    assert entry.capacity.cpu_millicores >= 0
    assert all(isinstance(label, str) for label in entry.labels)
