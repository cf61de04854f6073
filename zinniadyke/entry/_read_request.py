"""Reads, validates and routes a caller's HTTP request."""

import time
import urllib.parse

import msgspec

from zinniadyke import decoding
from zinniadyke.entry import _auth
from zinniadyke.entry import _caller_request
from zinniadyke.entry import _routing
from zinniadyke import errors
from zinniadyke import ids
from zinniadyke import objects
from zinniadyke import rendezvous
from zinniadyke import requests

MODEL_PATHS = ("/v1/chat/completions", "/v1/completions")
SERVICE_PREFIX = "/services/"
CLASS_HEADER = "HTTP_ZINNIADYKE_CLASS"
TIMEOUT_HEADER = "HTTP_ZINNIADYKE_TIMEOUT"
KEY_HEADER = "HTTP_IDEMPOTENCY_KEY"
DEFAULT_CLASS = "default"
MAX_KEY_CHARS = 200
MAX_CLASS_CHARS = 64
# Latest messages of a prompt that are told apart.
MAX_PROMPT_PARTS = 24
FORWARDED_METHODS = (
    "GET",
    "HEAD",
    "OPTIONS",
    "POST",
    "PUT",
    "PATCH",
    "DELETE",
)


class ModelBody(msgspec.Struct, kw_only=True):
    """The fields of a completion request that the entry reads."""

    model: str
    stream: bool = False
    messages: list | None = None
    prompt: str | list | None = None


def read_request(
    environ: dict,
    configuration: objects.Configuration,
    identity: _auth.Identity,
    max_body_bytes: int,
) -> _caller_request.CallerRequest:
    """Return the validated request.

    Raises
    ------
    RequestError
        The request is malformed, too large, not allowed, or has no route.
    """
    if identity.role is not _auth.Role.CALLER:
        raise errors.RequestError(code=errors.ResultCode.FORBIDDEN)
    path = environ["PATH_INFO"]
    request_class = environ.get(CLASS_HEADER, DEFAULT_CLASS)
    if len(request_class) > MAX_CLASS_CHARS:
        raise _bad_request("Zinniadyke-Class is too long")
    method = environ["REQUEST_METHOD"]
    body = read_body(environ, max_body_bytes)
    model = service = ""
    stream = False
    prompt_parts: frozenset[ids.PromptPart] = frozenset()
    if path in MODEL_PATHS:
        if method != "POST":
            raise _bad_request("completions require method POST")
        parsed = _model_body(body, path)
        model, stream, target_path = parsed.model, parsed.stream, path
        prompt_parts = _prompt_parts(parsed)
    elif path.startswith(SERVICE_PREFIX):
        service, target_path = _service_path(environ, path, method)
    else:
        raise errors.RequestError(
            f"no such path: {path}", code=errors.ResultCode.NOT_FOUND
        )
    matched = _routing.find_route(
        configuration,
        identity.workspace,
        request_class,
        model=model,
        service=service,
    )
    workspace = configuration.get("workspace", identity.workspace)
    limit = workspace_limit(configuration, identity.workspace)
    return _caller_request.CallerRequest(
        request_id=ids.new_request_id(),
        workspace=identity.workspace,
        request_class=request_class,
        service=ids.ServiceName(matched.service),
        declared=matched.declared,
        model=ids.ModelName(model),
        versions=matched.route.versions,
        priority=matched.route.priority,
        share=workspace.share,
        method=method,
        path=target_path,
        headers=_forwarded_headers(environ),
        body=body,
        stream=stream,
        idempotent=_routing.is_idempotent(
            matched.declared, method, target_path, bool(model)
        ),
        key=_idempotency_key(environ),
        deadline_s=time.monotonic() + _timeout_s(environ, matched.declared),
        max_queued=limit.queue,
        prompt_parts=prompt_parts,
        content=requests.digest_content(
            method.encode(),
            matched.service.encode(),
            target_path.encode(),
            identity.workspace.encode(),
            body,
        ),
    )


def _prompt_parts(body: ModelBody) -> frozenset[ids.PromptPart]:
    """Return the messages or prompts of a request, as digests.

    Unlike a platform's list of parts, the last message counts too, as callers
    ask the same again.
    """
    parts = body.messages or []
    if isinstance(body.prompt, list):
        parts = [*parts, *body.prompt]
    elif body.prompt is not None:
        parts = [*parts, body.prompt]
    return frozenset(
        ids.PromptPart(
            rendezvous.weight(
                body.model, msgspec.json.encode(part).decode()
            ).hex()
        )
        for part in parts[-MAX_PROMPT_PARTS:]
    )


def workspace_limit(
    configuration: objects.Configuration, workspace: str
) -> objects.Limit:
    """Return the workspace's limit, or one without restrictions."""
    for _, limit in configuration.of_kind("limit", workspace):
        return limit
    return objects.Limit()


def read_body(environ: dict, max_bytes: int) -> bytes:
    """Read a request's body.

    Raises
    ------
    RequestError
        The body is larger than ``max_bytes`` or shorter than its
        Content-Length, or the Content-Length is not valid.
    """
    try:
        length = int(environ.get("CONTENT_LENGTH") or 0)
    except ValueError:
        raise _bad_request("Content-Length is not a number")
    if length < 0:
        raise _bad_request("Content-Length is negative")
    if length > max_bytes:
        raise errors.RequestError(code=errors.ResultCode.TOO_LARGE)
    if environ.get("HTTP_TRANSFER_ENCODING"):
        body = environ["wsgi.input"].read(max_bytes + 1)
        if len(body) > max_bytes:
            raise errors.RequestError(code=errors.ResultCode.TOO_LARGE)
        return body
    body = environ["wsgi.input"].read(length) if length else b""
    if len(body) != length:
        raise _bad_request("the body is shorter than Content-Length")
    return body


def _model_body(body: bytes, path: str) -> ModelBody:
    try:
        parsed = msgspec.json.decode(body, type=ModelBody)
    except decoding.UNREADABLE as error:
        raise _bad_request(f"body: {error}")
    chat = path.endswith("/chat/completions")
    if chat and not parsed.messages:
        raise _bad_request("body: `messages` is missing or empty")
    if not chat and parsed.prompt is None:
        raise _bad_request("body: `prompt` is missing")
    return parsed


def _service_path(environ: dict, path: str, method: str) -> tuple[str, str]:
    if method not in FORWARDED_METHODS:
        raise _bad_request(f"method {method} is not supported")
    rest = path.removeprefix(SERVICE_PREFIX)
    service, _, tail = rest.partition("/")
    target_path = "/" + urllib.parse.quote(tail, safe="/:@!$&'()*+,;=~-._")
    if environ.get("QUERY_STRING"):
        target_path += "?" + environ["QUERY_STRING"]
    return service, target_path


def _forwarded_headers(environ: dict) -> dict[str, str]:
    headers = {}
    for name, key in (
        ("Content-Type", "CONTENT_TYPE"),
        ("Accept", "HTTP_ACCEPT"),
        ("Idempotency-Key", KEY_HEADER),
    ):
        if environ.get(key):
            headers[name] = environ[key]
    return headers


def _idempotency_key(environ: dict) -> str:
    key = environ.get(KEY_HEADER, "")
    if len(key) > MAX_KEY_CHARS:
        raise _bad_request("Idempotency-Key is too long")
    return key


def _timeout_s(environ: dict, declared: objects.Service) -> float:
    text = environ.get(TIMEOUT_HEADER)
    if not text:
        return declared.timeout
    try:
        requested_s = float(text)
    except ValueError:
        raise _bad_request("Zinniadyke-Timeout is not a number of seconds")
    if not 0 < requested_s < float("inf"):
        raise _bad_request("Zinniadyke-Timeout must be above 0")
    return min(requested_s, declared.timeout)


def _bad_request(message: str) -> errors.RequestError:
    return errors.RequestError(message, code=errors.ResultCode.BAD_REQUEST)
