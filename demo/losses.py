"""Access to which VMs were lost when, as the platform saw it."""

import bisect

from demo import evidence

FAILURES = ('fail', 'gone')
KNOWN_S = 10.0
"""How long the loss of a VM may stay unknown to the controller."""

Changes = list[tuple[float, bool]]
"""When a VM was lost (True) and came back (False), in order."""


def of(events: list[evidence.PlatformEvent]) -> dict[str, Changes]:
    """Give the losses of each VM."""
    changes: dict[str, Changes] = {}
    for event in events:
        if event.kind in FAILURES or not event.healthy:
            changes.setdefault(event.vm, []).append((event.at_s, True))
        elif event.kind in ('mend', 'booted'):
            changes.setdefault(event.vm, []).append((event.at_s, False))
    return changes


def known(changes: Changes, at_s: float) -> bool:
    """Say whether a VM was lost for so long that it must be known."""
    index = bisect.bisect(changes, (at_s, False)) - 1
    if index < 0:
        return False
    since_s, lost = changes[index]
    return lost and at_s - since_s > KNOWN_S
