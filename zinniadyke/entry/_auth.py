"""Who a bearer token belongs to, and what it allows."""

import enum
import hashlib

import msgspec

from zinniadyke import errors
from zinniadyke import ids
from zinniadyke import objects
from zinniadyke import requests

CACHE_SIZE = 10_000


class Role(enum.Enum):
    """What a token allows."""

    CALLER = "caller"
    OPERATOR = "operator"
    ADMIN = "admin"


class Identity(msgspec.Struct, frozen=True, kw_only=True):
    """The owner of a token.

    Attributes
    ----------
    workspace
        Empty for a fleet operator.
    """

    workspace: ids.WorkspaceName
    role: Role


class Authenticator:
    """Checks bearer tokens against the salted hashes.

    Parameters
    ----------
    admin_tokens
        Salted hashes of the fleet operators' tokens.
    """

    def __init__(self, *, admin_tokens: list[str]) -> None:
        """Start with an empty cache."""
        self.admin_tokens = admin_tokens
        self.revision = -1
        self.known: dict[bytes, Identity] = {}

    def identify(
        self, header: str, configuration: objects.Configuration
    ) -> Identity:
        """Return the owner of an ``Authorization`` header's token.

        Raises
        ------
        RequestError
            UNAUTHENTICATED.
        """
        scheme, _, token = header.partition(" ")
        if scheme.lower() != "bearer" or not token:
            raise errors.RequestError(code=errors.ResultCode.UNAUTHENTICATED)
        if self.revision != configuration.revision:
            self.revision = configuration.revision
            self.known.clear()
        digest = hashlib.sha256(token.encode()).digest()
        found = self.known.get(digest)
        if found is None:
            found = self._look_up(token, configuration)
            if len(self.known) >= CACHE_SIZE:
                self.known.clear()
            self.known[digest] = found
        return found

    def _look_up(
        self, token: str, configuration: objects.Configuration
    ) -> Identity:
        name = ids.WorkspaceName(requests.token_workspace(token))
        workspace = configuration.get("workspace", name)
        if workspace and requests.check_token(token, workspace.tokens):
            return Identity(workspace=name, role=Role.CALLER)
        if workspace and requests.check_token(
            token, workspace.operator_tokens
        ):
            return Identity(workspace=name, role=Role.OPERATOR)
        if requests.check_token(token, self.admin_tokens):
            return Identity(workspace=ids.WorkspaceName(""), role=Role.ADMIN)
        raise errors.RequestError(code=errors.ResultCode.UNAUTHENTICATED)
