"""Access to the pauses that garbage collection makes."""

import gc

YOUNG_OBJECTS = 10_000
"""New objects until the youngest are collected.

Requests leave few cycles; at the default of 700 a collection runs every few
requests.
"""


def settle() -> None:
    """Spare collections what was made so far.

    To be called once a process has its modules and its first state: a full
    collection of these stops it for 10 ms and more each time.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_OBJECTS)
