"""Whether a call to another process has run."""

import enum


class Verdict(enum.Enum):
    """Whether a finished call has run, as far as it is known."""

    NOT_RUN = 'not-run'
    """The call provably did not run; anyone may retry it."""

    MAY_HAVE_RUN = 'may-have-run'
    """It is unknown whether the call ran; retry only if idempotent."""

    RAN = 'ran'
    """The callee answered that the call ran."""


HEADER = 'Oleander-Verdict'
"""HTTP header of each refused or failed answer; it contains the verdict."""
