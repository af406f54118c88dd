"""Access to the verdict: whether a call that left the process has run."""

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


def may_retry(verdict: Verdict, idempotent: bool) -> bool:
    """Say whether a call that ended with this verdict may be sent again.

    :param verdict: how the earlier attempt ended
    :param idempotent: whether running twice equals running once
    """
    if verdict is Verdict.NOT_RUN:
        return True
    return verdict is Verdict.MAY_HAVE_RUN and idempotent
