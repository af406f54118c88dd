"""Whether a call to another process has run."""

import enum


class Verdict(enum.Enum):
    """Whether a finished call has run, as far as it is known."""

    NOT_RUN = 'not-run'
    """The call provably did not run; anyone may retry it."""

    MAY_HAVE_RUN = 'may-have-run'
    """The call may have run; it may be retried only if it is idempotent."""

    RAN = 'ran'
    """The callee answered that the call ran."""


HEADER = 'Oleander-Verdict'
"""Header of every refused or failed answer, with the value of its verdict."""
