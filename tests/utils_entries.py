"""Builders of executors' entries in the store, good and spoiled."""

import json

from hypothesis import strategies

GOOD = {
    'service': 'drafts',
    'addr': '10.128.0.9:8080',
    'zone': 'zone-a',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'cold_left_ms': 0,
    'capacity': {'cpu': 16000, 'mem_mb': 32768, 'gpu': 0},
    'labels': ['a', 'r1-3'],
    'clock_ms': 482113,
    'seq': 4,
}
"""An entry as the platform's own examples show it."""

REQUIRED = sorted(set(GOOD) - {'clock_ms'})


def encode(**fields) -> bytes:
    """Build an entry in which some fields differ."""
    return json.dumps({**GOOD, **fields}).encode()


def without(name: str) -> bytes:
    """Build an entry that lacks a field."""
    return json.dumps(
        {key: value for key, value in GOOD.items() if key != name}
    ).encode()


ANY_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=20),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            strategies.sampled_from(sorted(GOOD)) | strategies.text(),
            inner,
            max_size=8,
        )
    ),
    max_leaves=15,
)

VALUES = (
    strategies.binary(max_size=200)
    | ANY_JSON.map(lambda value: json.dumps(value).encode())
    | strategies.tuples(
        strategies.sampled_from([*sorted(GOOD), 'machine', 'remaining_ms']),
        ANY_JSON,
    ).map(lambda row: encode(**{row[0]: row[1]}))
    | strategies.sampled_from(REQUIRED).map(without)
)
"""Any bytes, any JSON, or a good entry with one field spoiled."""
