"""Builders of a run's evidence for the tests of the checker."""

import base64
import hashlib
import zlib

import msgspec

from demo import callers
from demo import evidence

BODY = hashlib.sha256(b'').hexdigest()


def write(at_s, key, body, version=1):
    """Make a store write of plain data, None for a deletion."""
    value = None
    if body is not None:
        packed = zlib.compress(msgspec.msgpack.encode(body))
        value = base64.b64encode(
            msgspec.msgpack.encode([[['op', 0]], packed])
        ).decode()
    return evidence.StoreWrite(
        at_s=at_s, key=key, version=version, value=value
    )


def shard(at_s, data_centre='d1', **rows):
    """Make a shard write; a row is ``(pool, state, epoch)``."""
    body = {'rows': [[vm, *row] for vm, row in rows.items()]}
    return write(at_s, f'shards/{data_centre}', body)


def head(at_s, revision):
    """Make a write of the configuration's head."""
    return write(at_s, 'config/head', {'revision': revision})


def attempt(key='k1', number=0, **values):
    """Make an attempt that was answered at 10.0 to 10.5."""
    fields = {
        'key': key,
        'nonce': f'{key}/{number}',
        'path': '/finals',
        'idempotent': False,
        'body_sha256': BODY,
        'start_s': 10.0,
        'end_s': 10.5,
        'status': 200,
        'whole': True,
        'own': True,
    }
    return callers.Attempt(**{**fields, **values})


def request(nonce='k1/0', **values):
    """Make an upstream's record of a request."""
    fields = {
        'at_s': 10.1,
        'end_s': 10.4,
        'vm': 'v1',
        'nonce': nonce,
        'pool': 'p',
        'epoch': '1',
        'ran': True,
        'sent': True,
        'in_flight': 1,
        'body_sha256': BODY,
    }
    return evidence.UpstreamRequest(**{**fields, **values})


def event(at_s, kind, vm='v1', **values):
    """Make a platform event."""
    return evidence.PlatformEvent(at_s=at_s, kind=kind, vm=vm, **values)


def clean(**more):
    """Make evidence of a run without a breach, with more of some kinds."""
    seen = evidence.Evidence(
        attempts=[attempt()],
        requests=[request()],
        writes=[
            shard(0.0, v1=('p', 'serving', 1), v2=('p', 'serving', 1)),
            head(1.0, 1),
            shard(20.0, v1=('p', 'releasing', 2), v2=('p', 'serving', 1)),
            shard(22.0, v1=('p', 'rebooting', 3), v2=('p', 'serving', 1)),
            shard(30.0, v1=('p', 'serving', 4), v2=('p', 'serving', 1)),
        ],
        events=[event(22.1, 'reboot'), event(25.0, 'booted')],
        probes=[evidence.Probe(3.0, 3.1, 'e1', 1)],
        min_up={'p': 1},
    )
    for kind, extra in more.items():
        getattr(seen, kind).extend(extra)
    return seen
