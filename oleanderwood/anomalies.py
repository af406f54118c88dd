"""Access to the counts of what was refused and of what must never be."""

import collections
import dataclasses


@dataclasses.dataclass
class Anomalies:
    """Counts by kind; a daemon logs and exports them.

    :ivar refusals: revisions refused as lower than one already seen
    :ivar breaches: states that must never be reached
    """

    refusals: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    breaches: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )


def newer(
    anomalies: Anomalies,
    kind: str,
    known: int,
    offered: int,
    same: bool,
) -> bool:
    """Say whether an offered revision is to be followed.

    :param kind: of what, as in ``shard``
    :param same: whether the contents are the same; two contents of one
        revision are a breach
    """
    if offered < known:
        anomalies.refusals[kind] += 1
    if offered == known and not same:
        anomalies.breaches[f'two contents of one {kind} revision'] += 1
    return offered > known
