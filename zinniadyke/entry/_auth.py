"""Authenticates bearer tokens and finds their role."""

import enum
import hashlib

import msgspec

from zinniadyke import errors
from zinniadyke import ids
from zinniadyke import objects
from zinniadyke import requests

MAX_CACHED_TOKENS = 10_000


class Role(enum.Enum):
    """Role of a token's owner."""

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
    """Checks bearer tokens against salted hashes and caches the results.

    Parameters
    ----------
    admin_tokens
        Salted hashes of the fleet operators' tokens.
    """

    def __init__(self, *, admin_tokens: list[str]) -> None:
        """Start with an empty cache."""
        self.admin_tokens = admin_tokens
        self.revision = -1
        self.identity_cache: dict[bytes, Identity] = {}

    def identify(
        self, header: str, configuration: objects.Configuration
    ) -> Identity:
        """Return the owner of an ``Authorization`` header's token.

        Raises
        ------
        RequestError
            UNAUTHENTICATED: the header has no valid bearer token.
        """
        scheme, _, token = header.partition(" ")
        if scheme.lower() != "bearer" or not token:
            raise errors.RequestError(code=errors.ResultCode.UNAUTHENTICATED)
        if self.revision != configuration.revision:
            self.revision = configuration.revision
            self.identity_cache.clear()
        digest = hashlib.sha256(token.encode()).digest()
        identity = self.identity_cache.get(digest)
        if identity is None:
            identity = self._find_identity(token, configuration)
            if len(self.identity_cache) >= MAX_CACHED_TOKENS:
                self.identity_cache.clear()
            self.identity_cache[digest] = identity
        return identity

    def _find_identity(
        self, token: str, configuration: objects.Configuration
    ) -> Identity:
        name = ids.WorkspaceName(requests.token_workspace(token))
        workspace = configuration.get("workspace", name)
        if workspace and requests.token_matches(token, workspace.tokens):
            return Identity(workspace=name, role=Role.CALLER)
        if workspace and requests.token_matches(
            token, workspace.operator_tokens
        ):
            return Identity(workspace=name, role=Role.OPERATOR)
        if requests.token_matches(token, self.admin_tokens):
            return Identity(workspace=ids.WorkspaceName(""), role=Role.ADMIN)
        raise errors.RequestError(code=errors.ResultCode.UNAUTHENTICATED)
