"""Tests of load_vectors."""

from oleanderwood import grants
from oleanderwood import load_vectors
from oleanderwood import messages
from tests import utils_membership as build


def _held(revision):
    held = grants.Grants()
    rows = [build.row(f'vm-{number}') for number in range(4)]
    grants.apply_shard(held, build.shard(revision, rows))
    return held


def test_loads_come_back():
    loads = (messages.Load('vm-1', 7), messages.Load('vm-2', 300))
    vectors = load_vectors.pack(loads, _held(1))
    assert vectors[0].in_flight == b'\x00\x07\xff'
    assert load_vectors.unpack(vectors, _held(1)) == (
        messages.Load('vm-1', 7),
        messages.Load('vm-2', 255),
    )


def test_loads_of_another_revision_are_unknown():
    vectors = load_vectors.pack((messages.Load('vm-1', 7),), _held(1))
    assert load_vectors.unpack(vectors, _held(2)) == ()
    assert load_vectors.pack((), _held(1)) == ()
