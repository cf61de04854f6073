"""Exception hierarchy of the package. Each has a result code."""

from zinniadyke.errors._codes import ResultCode


class ZinniadykeError(Exception):
    """Base class of the package's exceptions.

    Parameters
    ----------
    message
        One line of text; the code's summary when left out.
    code
        Result code; ``default_code`` of the class when left out.
    retry_after_s
        Time after which the caller may retry, in seconds.
    """

    default_code = ResultCode.INTERNAL

    def __init__(
        self,
        message: str = "",
        *,
        code: ResultCode | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        """Use the class's default code, and its summary, if not given."""
        self.code = code or self.default_code
        self.message = message or self.code.summary
        self.retry_after_s = retry_after_s
        super().__init__(self.message)


class UserError(ZinniadykeError):
    """An error that an operator sees as one plain line."""

    default_code = ResultCode.INVALID


class SettingsError(UserError):
    """A settings file is missing or not valid."""

    default_code = ResultCode.SETTINGS


class DeclarationError(UserError):
    """A statement has a syntax error or is not valid."""


class ConflictError(UserError):
    """Another operator's change to the same object came first."""

    default_code = ResultCode.CONFLICT


class UnknownOutcomeError(UserError):
    """An operator's change may or may not have been accepted."""

    default_code = ResultCode.CHANGE_UNKNOWN


class PlatformError(ZinniadykeError):
    """The platform's object API failed or gave an unexpected answer."""

    default_code = ResultCode.PLATFORM_UNAVAILABLE


class PlatformTimeoutError(PlatformError):
    """The platform's object API did not answer in time."""


class RequestError(ZinniadykeError):
    """A caller's request ended without a complete response."""


class WeightsError(ZinniadykeError):
    """Weights could not be fetched, verified or loaded."""


class EngineError(ZinniadykeError):
    """An engine, model server or plain service failed."""

    default_code = ResultCode.TARGET_FAILED


class OrderRefusedError(ZinniadykeError):
    """An agent refused an order."""


class PeerTimeoutError(ZinniadykeError):
    """A peer did not answer in time, or its connection was closed."""

    default_code = ResultCode.OUTCOME_UNKNOWN
