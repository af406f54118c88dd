"""The errors that oleanderwood raises."""

from oleanderwood import verdict as verdicts


class OleanderError(Exception):
    """Base of all errors of this package."""


class CallFailed(OleanderError):
    """A call that left the process did not bring a whole answer.

    :ivar verdict: what is known of the call
    :ivar reason: a short sentence for logs and answers
    """

    def __init__(self, verdict: verdicts.Verdict, reason: str) -> None:
        super().__init__(f'{reason} ({verdict.value})')
        self.verdict = verdict
        self.reason = reason


class Unanswered(CallFailed):
    """A call was sent, and its connection stayed silent for too long."""


class SettingsFault(OleanderError):
    """One setting that a binary can't start with."""


class ConfigurationFault(OleanderError):
    """One fault of an operators' file.

    :ivar path: where in the file, as in ``pools[3].min_up``
    :ivar remedy: what would make the file acceptable
    """

    def __init__(self, path: str, reason: str, remedy: str) -> None:
        super().__init__(f'{path}: {reason}; {remedy}')
        self.path = path
        self.reason = reason
        self.remedy = remedy


class InvariantBreach(OleanderError):
    """A state that must never be reached; reported, never passed on."""


class BadMessage(OleanderError):
    """A message from outside that doesn't follow its protocol.

    :ivar status: the HTTP status that answers it
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
