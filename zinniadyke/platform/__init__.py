"""Clients of the platform's store, model servers and origin of weights."""

from zinniadyke.platform._client import HOSTS_KIND
from zinniadyke.platform._client import PlatformClient
from zinniadyke.platform._cold_time import parse_cold
from zinniadyke.platform._digests import check_digests
from zinniadyke.platform._digests import PieceCountError
from zinniadyke.platform._follow import follow_configuration
from zinniadyke.platform._follow import follow_evacuations
from zinniadyke.platform._follow import follow_targets
from zinniadyke.platform._follow import follow_versions
from zinniadyke.platform._prompt_parts import shared_prompt_parts
from zinniadyke.platform._purpose import Purpose
from zinniadyke.platform._records import Host
from zinniadyke.platform._records import HostRole
from zinniadyke.platform._records import HostState
from zinniadyke.platform._records import StoredObject
from zinniadyke.platform._retry_after import parse_retry_after
from zinniadyke.platform._revision import NO_ERA
from zinniadyke.platform._revision import Revision
from zinniadyke.platform._store import StoreClient
from zinniadyke.platform._target_api import EngineReport
from zinniadyke.platform._target_api import ManifestAnswer
from zinniadyke.platform._target_api import ModelServerClient
from zinniadyke.platform._target_api import OriginClient
from zinniadyke.platform._target_limit import parse_limit
from zinniadyke.platform._target_load import Load
from zinniadyke.platform._target_load import parse_load
from zinniadyke.platform._template import render_template
from zinniadyke.platform._token_counts import parse_token_counts
from zinniadyke.platform._token_counts import TokenCounts
from zinniadyke.platform._update import compare_and_swap
from zinniadyke.platform._update import update
from zinniadyke.platform._version_record import record_version

__all__ = [
    "HOSTS_KIND",
    "NO_ERA",
    "EngineReport",
    "Host",
    "HostRole",
    "HostState",
    "Load",
    "ManifestAnswer",
    "ModelServerClient",
    "OriginClient",
    "PieceCountError",
    "PlatformClient",
    "Purpose",
    "Revision",
    "StoreClient",
    "StoredObject",
    "TokenCounts",
    "check_digests",
    "compare_and_swap",
    "follow_configuration",
    "follow_evacuations",
    "follow_targets",
    "follow_versions",
    "parse_cold",
    "parse_limit",
    "parse_load",
    "parse_retry_after",
    "parse_token_counts",
    "record_version",
    "render_template",
    "shared_prompt_parts",
    "update",
]
