"""How much of a server's memory accepted jobs may take as it leads. Pure.

Designed for callers that hand in more or larger jobs than any leader can hold:
a leader that exceeds its memory is killed, and so is each successor, as the
jobs stay in the store.
"""

from oleanderwood.jobs import model

JOBS_SHARE = 0.3
"""Part of a server's memory for open occurrences of jobs. The rest is for the
process itself, workers, connections, and decoding all jobs in a takeover."""

DEFAULT_MEMORY_MB = 256.0
"""Memory of a server that isn't told its limit."""

LARGE_BYTES = 200_000
"""Memory from which a job needs a reservation before it is accepted.
Hundreds of smaller ones may be accepted on the figure of the last write."""

SHORT_SHARE = 0.1
"""Part of the memory for jobs that must be left for smaller jobs to be
accepted without asking."""


def max_open_bytes(memory_mb: float) -> float:
    """Return the memory for jobs on a server.

    :param memory_mb: memory of the process; 0 if unknown
    """
    return JOBS_SHARE * (memory_mb or DEFAULT_MEMORY_MB) * 2**20


def is_large(work: model.Work) -> bool:
    """Return whether a job takes so much that memory is reserved for it."""
    return model.open_bytes(work) >= LARGE_BYTES
