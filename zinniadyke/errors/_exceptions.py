"""The exception tree. Every exception carries a result code."""

from zinniadyke.errors._codes import ResultCode


class ZinniadykeError(Exception):
    """Base of all exceptions of the package.

    Parameters
    ----------
    message
        One line for people.
    code
        The numbered result; the class's own default when left out.
    retry_after_s
        When the caller may ask again, in seconds.
    """

    default_code = ResultCode.INTERNAL

    def __init__(
        self,
        message: str = "",
        *,
        code: ResultCode | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        """Fill in the class's code and summary where none is given."""
        self.code = code or self.default_code
        self.message = message or self.code.summary
        self.retry_after_s = retry_after_s
        super().__init__(self.message)


class UserError(ZinniadykeError):
    """Shown to an operator as one plain line."""

    default_code = ResultCode.INVALID


class SettingsError(UserError):
    """A settings file is missing or wrong."""

    default_code = ResultCode.SETTINGS


class DeclarationError(UserError):
    """A statement cannot be read or is not valid."""


class ConflictError(UserError):
    """Another operator's change to the same object came first."""

    default_code = ResultCode.CONFLICT


class UnknownOutcomeError(UserError):
    """A change may or may not have been accepted."""

    default_code = ResultCode.CHANGE_UNKNOWN


class PlatformError(ZinniadykeError):
    """The platform's object API did not answer as it should."""

    default_code = ResultCode.PLATFORM_UNAVAILABLE


class RequestError(ZinniadykeError):
    """A caller's request ends without a whole answer."""


class WeightsError(ZinniadykeError):
    """Weights could not be fetched, verified or loaded."""


class EngineError(ZinniadykeError):
    """The engine or the service behind an agent failed."""

    default_code = ResultCode.TARGET_FAILED


class OrderRefusedError(ZinniadykeError):
    """An agent refuses an order."""


class PeerTimeoutError(ZinniadykeError):
    """A peer did not answer in time."""

    default_code = ResultCode.OUTCOME_UNKNOWN
