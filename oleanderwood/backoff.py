"""Access to the delays between repeated attempts: exponential, jittered."""

import dataclasses
import random


@dataclasses.dataclass(frozen=True)
class Backoff:
    """How long to wait between attempts, and for how long to go on.

    :ivar first_s: upper bound of the first delay
    :ivar most_s: upper bound of any delay
    :ivar limit_s: no attempt starts later than this after the first
    """

    first_s: float = 0.05
    most_s: float = 1.0
    limit_s: float = 5.0


def delay_s(backoff: Backoff, attempt: int, rng: random.Random) -> float:
    """Draw the delay before an attempt; they spread out evenly.

    :param attempt: 1 for the first repeat
    """
    doublings = min(attempt - 1, 30)
    bound_s = min(backoff.most_s, backoff.first_s * 2**doublings)
    return rng.uniform(bound_s / 4, bound_s)
