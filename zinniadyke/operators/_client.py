"""HTTP client of the operators' API."""

import os
import pathlib
import urllib.parse

import msgspec
import urllib3

from zinniadyke import errors
from zinniadyke import http_pools

TIMEOUT_S = 60.0
ENTRY_VARIABLE = "ZINNIADYKE_ENTRY"
TOKEN_VARIABLE = "ZINNIADYKE_TOKEN"


class OperatorClient:
    """Sends statements and queries to an entry.

    Parameters
    ----------
    url
        Base URL of an entry's HTTP address.
    token
        The operator's bearer token.
    """

    def __init__(self, *, url: str, token: str) -> None:
        """Create the connection pool; connects on first use."""
        self.url = url.rstrip("/")
        self.token = token
        self.pool = http_pools.pool_manager(maxsize=1)

    def send(
        self,
        action: str,
        text: str,
        options: dict[str, str] | None = None,
        timeout_s: float = TIMEOUT_S,
    ) -> dict:
        """Send text to an action and return the decoded response.

        Raises
        ------
        UserError
            The entry rejected the request.
        UnknownOutcomeError
            The entry did not respond, so it may have accepted the request.
        """
        query = urllib.parse.urlencode(options or {})
        try:
            response = self.pool.request(
                "POST",
                f"{self.url}/operator/v1/{action}?{query}",
                body=text.encode(),
                headers={"Authorization": f"Bearer {self.token}"},
                timeout=timeout_s,
            )
        except urllib3.exceptions.HTTPError as error:
            raise errors.UnknownOutcomeError(f"{self.url}: {error}")
        content = msgspec.json.decode(response.data)
        if response.status == 200:
            return content
        raise _to_error(content["error"])


def from_environment(
    entry_url: str | None, token_file: str | None
) -> OperatorClient:
    """Return a client configured by options or else by the environment.

    Raises
    ------
    UserError
        The entry or the token is missing, or the token file cannot be read.
    """
    url = entry_url or os.environ.get(ENTRY_VARIABLE, "")
    if not url:
        raise errors.UserError(
            f"no entry: pass --entry URL or set {ENTRY_VARIABLE}"
        )
    token = os.environ.get(TOKEN_VARIABLE, "")
    if token_file:
        try:
            token = pathlib.Path(token_file).read_text("utf-8").strip()
        except OSError as error:
            raise errors.UserError(f"{token_file}: {error.strerror}")
    if not token:
        raise errors.UserError(
            f"no token: pass --token-file FILE or set {TOKEN_VARIABLE}"
        )
    return OperatorClient(url=url, token=token)


def _to_error(detail: dict) -> errors.UserError:
    code = errors.ResultCode.from_number(detail["code"])
    message = f"{detail['message']} [{code.number} {code.name}]"
    if code is errors.ResultCode.CHANGE_UNKNOWN:
        return errors.UnknownOutcomeError(message, code=code)
    return errors.UserError(message, code=code)
