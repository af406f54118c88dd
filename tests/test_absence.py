"""Tests of absence: when a member may be left out of an apply."""

import socket

import curio

from oleanderwood import absence
from oleanderwood import codec
from oleanderwood import errors
from oleanderwood import isolation
from oleanderwood import peer
from oleanderwood import platform_api
from oleanderwood import roster
from oleanderwood import store
from oleanderwood import vm_listing
from tests import utils_configuration
from tests import utils_membership as build
from tests import utils_store

LOST = build.member('e1')
OTHER = build.member('e2')
THIRD = build.member('e3')
LONG_S = isolation.QUIET_S + 1


def _watcher(fake, ages, listed=True, ended=()):
    """Make what the proof reads.

    :param ages: how long ago each other member heard of the lost one;
        those left out don't answer
    :param ended: members whose addresses refuse connections
    """

    async def refuses(address):
        return address in [member.peer for member in ended]

    async def release(address, request):
        for other in (OTHER, THIRD):
            if other.peer == address and other.entry in ages:
                heard = {LOST.incarnation: ages[other.entry]}
                return build.release_reply(other, ages=heard)
        raise errors.CallFailed(utils_store.NOT_RUN, 'cut')

    async def list_vms(version):
        vms = utils_configuration.vms(1)
        own = platform_api.ListedVm(
            LOST.vm, LOST.region, LOST.data_centre, 'rack-1', '127.0.0.1:9'
        )
        kept = vms + (own,) if listed or not version else vms
        return platform_api.VmListing(version + 1, kept)

    calls = {method.name: None for method in peer.METHODS}
    peers = peer.Peers(**(calls | {'release': release}))
    kept = utils_store.connect(fake)
    return absence.Watcher(kept, peers, vm_listing.Reader(list_vms), refuses)


def _gone(ages, members=(LOST, OTHER, THIRD), key=False, **options):
    """Ask twice, as an apply does, whether the lost member is gone."""
    fake = utils_store.FakeStore()

    async def ask():
        watcher = _watcher(fake, ages, **options)
        await _put(watcher, store.ROSTER_KEY, roster.Roster(1, members))
        await _put(watcher, 'shards/dc-1', build.shard())
        if key:
            await _put(watcher, roster.member_key(LOST), b'')
        gone = absence.prover(watcher)
        await gone(LOST)
        return await gone(LOST)

    async def _put(watcher, key, value):
        await watcher.kept.swap(key, codec.pack(value), 0, 'op', None)

    return curio.run(ask)


def test_who_left_the_roster_is_gone():
    assert _gone({}, members=(OTHER, THIRD))


def test_who_is_heard_of_by_nobody_is_gone():
    assert _gone({'e2': LONG_S, 'e3': LONG_S})


def test_who_was_heard_of_is_not():
    assert not _gone({'e2': LONG_S, 'e3': 1.0})


def test_who_renews_its_key_is_not():
    assert not _gone({'e2': LONG_S, 'e3': LONG_S}, key=True)


def test_an_answer_that_is_missing_proves_nothing():
    """The two that are cut off may keep up each other's contact."""
    assert not _gone({'e2': LONG_S})


def test_whose_address_refuses_connections_has_ended():
    assert _gone({}, ended=(LOST,), key=True)


def test_another_that_has_ended_needs_no_answer():
    assert _gone({'e2': LONG_S}, ended=(THIRD,))
    assert not _gone({'e2': 1.0}, ended=(THIRD,))


def test_refusal_is_told_from_silence():
    listening = socket.socket()
    listening.bind(('127.0.0.1', 0))
    address = '%s:%d' % listening.getsockname()
    assert curio.run(absence.refuses, address)
    listening.listen()
    assert not curio.run(absence.refuses, address)
    listening.close()


def test_whose_vm_left_the_list_is_gone():
    assert _gone({}, listed=False)
    assert not _gone({}, listed=True)


def test_members_of_another_region_are_not_asked():
    far = build.member('e3', region='far')
    assert _gone({'e2': LONG_S}, members=(LOST, OTHER, far))
