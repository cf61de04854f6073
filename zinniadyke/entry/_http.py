"""The WSGI application for callers and operators."""

import http.client
import logging
import math
import time

import msgspec

from zinniadyke.entry import _auth
from zinniadyke.entry import _caller_request
from zinniadyke.entry import _read_request
from zinniadyke import errors
from zinniadyke import ids

LOG = logging.getLogger(__name__)

CODE_HEADER = "Zinniadyke-Code"
RAN_HEADER = "Zinniadyke-Ran"
REQUEST_ID_HEADER = "Zinniadyke-Request-Id"
VERSION_HEADER = "Zinniadyke-Version"
OPERATOR_PREFIX = "/operator/v1/"


class ErrorDetail(msgspec.Struct, kw_only=True):
    """Description of an error in an error response."""

    code: int
    name: str
    message: str
    ran: str
    request_id: str


class ErrorBody(msgspec.Struct, kw_only=True):
    """Body of an error response."""

    error: ErrorDetail


class Application:
    """Serves callers, operators and the platform's load balancer.

    Parameters
    ----------
    entry
        The entry process.
    """

    def __init__(self, *, entry) -> None:
        """Store the entry."""
        self.entry = entry

    def __call__(self, environ, start_response):
        """Serve one HTTP request."""
        path = environ["PATH_INFO"]
        if path == "/healthz":
            return _respond_text(start_response, 200, b"alive\n")
        if path == "/readyz":
            ready = self.entry.ready
            status = 200 if ready else 503
            return _respond_text(start_response, status, b"ready\n" * ready)
        request_id = ids.RequestId("")
        try:
            self._check_not_stopping()
            identity = self._identify(environ)
            if path.startswith(OPERATOR_PREFIX):
                return self.entry.operators.respond(
                    environ, start_response, identity
                )
            call = self._parse_request(environ, identity)
            request_id = call.request_id
            return self._serve_request(call, start_response)
        except errors.ZinniadykeError as error:
            return respond_error(start_response, error, request_id)
        except Exception as error:
            LOG.exception(
                "request failed with an unexpected error",
                extra={"request_id": request_id},
            )
            return respond_error(
                start_response,
                errors.ZinniadykeError(type(error).__name__),
                request_id,
            )

    def _check_not_stopping(self) -> None:
        if self.entry.stopping:
            raise errors.RequestError(
                code=errors.ResultCode.SHUTTING_DOWN, retry_after_s=1.0
            )

    def _identify(self, environ) -> _auth.Identity:
        return self.entry.authenticator.identify(
            environ.get("HTTP_AUTHORIZATION", ""),
            self.entry.node.configuration,
        )

    def _parse_request(
        self, environ, identity
    ) -> _caller_request.CallerRequest:
        if self.entry.node.store.revision == 0:
            raise errors.RequestError(
                code=errors.ResultCode.NOT_READY, retry_after_s=1.0
            )
        return _read_request.read_request(
            environ,
            self.entry.node.configuration,
            identity,
            self.entry.max_body_bytes,
        )

    def _serve_request(
        self, call: _caller_request.CallerRequest, start_response
    ):
        started_at_s = time.monotonic()
        try:
            served = self.entry.requests.serve(call)
        except errors.ZinniadykeError as error:
            self.entry.record_request(call, error.code, started_at_s)
            raise
        headers = [
            ("Content-Type", served.content_type or "text/plain"),
            (REQUEST_ID_HEADER, call.request_id),
            (VERSION_HEADER, served.version),
            (CODE_HEADER, str(errors.ResultCode.OK.number)),
            (RAN_HEADER, errors.Ran.RAN.value),
        ]
        body = _ResponseBody(
            served=served,
            call=call,
            entry=self.entry,
            started_at_s=started_at_s,
        )
        if call.stream:
            start_response(_status_line(served.status), headers)
            return body
        content = b"".join(body)
        headers.append(("Content-Length", str(len(content))))
        start_response(_status_line(served.status), headers)
        return [content]


class _ResponseBody:
    """Body of a response; a broken stream ends with an error event."""

    def __init__(self, *, served, call, entry, started_at_s: float) -> None:
        self.served = served
        self.call = call
        self.entry = entry
        self.started_at_s = started_at_s

    def __iter__(self):
        code = errors.ResultCode.CANCELLED
        try:
            yield from self.served.parts
            code = errors.ResultCode.OK
        except errors.ZinniadykeError as error:
            code = error.code
            if not self.call.stream:
                raise
            detail = _error_detail(error, self.call.request_id)
            event = msgspec.json.encode(ErrorBody(error=detail))
            yield b"event: error\ndata: " + event + b"\n\n"
        finally:
            self.entry.record_request(
                self.call,
                code,
                self.started_at_s,
                version=self.served.version,
                target=self.served.target,
            )

    def close(self) -> None:
        self.served.parts.close()


def respond_error(
    start_response, error: errors.ZinniadykeError, request_id: str = ""
):
    """Send an error response with its numbered result code."""
    body = msgspec.json.encode(
        ErrorBody(error=_error_detail(error, request_id))
    )
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        (CODE_HEADER, str(error.code.number)),
        (RAN_HEADER, error.code.ran.value),
        (REQUEST_ID_HEADER, request_id),
    ]
    if error.retry_after_s is not None:
        headers.append(("Retry-After", str(math.ceil(error.retry_after_s))))
    if error.code is errors.ResultCode.UNAUTHENTICATED:
        headers.append(("WWW-Authenticate", "Bearer"))
    start_response(_status_line(error.code.status), headers)
    return [body]


def respond_json(start_response, value):
    """Send a value as a JSON response."""
    body = msgspec.json.encode(value)
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
    ]
    start_response("200 OK", headers)
    return [body]


def _error_detail(
    error: errors.ZinniadykeError, request_id: str
) -> ErrorDetail:
    return ErrorDetail(
        code=error.code.number,
        name=error.code.name,
        message=error.message,
        ran=error.code.ran.value,
        request_id=request_id,
    )


def _respond_text(start_response, status: int, body: bytes):
    headers = [
        ("Content-Type", "text/plain"),
        ("Content-Length", str(len(body))),
    ]
    start_response(_status_line(status), headers)
    return [body]


def _status_line(status: int) -> str:
    return f"{status} {http.client.responses.get(status, 'Unknown')}"
