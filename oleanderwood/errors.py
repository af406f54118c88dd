"""The errors that oleanderwood raises."""

from oleanderwood import verdict as verdicts


class OleanderError(Exception):
    """Base of all errors of this package."""


class CallFailed(OleanderError):
    """A call to another process did not return a complete answer.

    :ivar verdict: whether the call may have run
    :ivar reason: a short sentence for logs and answers
    """

    def __init__(self, verdict: verdicts.Verdict, reason: str) -> None:
        super().__init__(f'{reason} ({verdict.value})')
        self.verdict = verdict
        self.reason = reason


class Unanswered(CallFailed):
    """A call was sent but not answered within its timeout."""


class SettingsFault(OleanderError):
    """A setting with which a program can't start."""


class ConfigurationFault(OleanderError):
    """An error in an operators' configuration file.

    :ivar path: location in the file, as in ``pools[3].min_up``
    :ivar remedy: the change that would make the file valid
    """

    def __init__(self, path: str, reason: str, remedy: str) -> None:
        super().__init__(f'{path}: {reason}; {remedy}')
        self.path = path
        self.reason = reason
        self.remedy = remedy


class InvariantBreach(OleanderError):
    """A violated invariant; it is reported and never propagated further."""


class BadMessage(OleanderError):
    """A message from outside the process that violates its protocol.

    :ivar status: HTTP status of the answer
    :ivar reason: what is wrong, sent in the answer
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
