"""The verdict: whether a call that left the process has run."""

import enum


class Verdict(enum.Enum):
    """What is known of a call once it has ended."""

    NOT_RUN = 'not-run'
    """Proof that the call did not run; it may be retried by anyone."""

    MAY_HAVE_RUN = 'may-have-run'
    """No proof either way; only an idempotent call may be retried."""

    RAN = 'ran'
    """The callee answered that the call ran."""


HEADER = 'Oleander-Verdict'
"""Header of every refused or failed answer; its value is the verdict's."""
