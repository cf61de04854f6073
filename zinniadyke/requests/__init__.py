"""Request limits, queueing, retry budgets, claims, tokens, histograms."""

from zinniadyke.requests._claims import Claim
from zinniadyke.requests._claims import claim_key
from zinniadyke.requests._claims import ClaimState
from zinniadyke.requests._claims import ClaimStore
from zinniadyke.requests._cold_limit import COLD_LIFETIME_S
from zinniadyke.requests._cold_limit import cold_share
from zinniadyke.requests._cold_limit import ColdLimit
from zinniadyke.requests._cold_limit import make_cold_limit
from zinniadyke.requests._cold_limit import SHARE_LIFETIME_S
from zinniadyke.requests._content import digest_content
from zinniadyke.requests._crash_findings import CrashFindings
from zinniadyke.requests._crash_ledger import CrashLedger
from zinniadyke.requests._crash_ledger import WRITING_AFTER_S
from zinniadyke.requests._fair_queue import FairQueue
from zinniadyke.requests._histograms import Histograms
from zinniadyke.requests._lane_queue import Lane
from zinniadyke.requests._lane_queue import LaneQueue
from zinniadyke.requests._retry_budget import RetryBudget
from zinniadyke.requests._token_schedule import TOKEN_LIFETIME_S
from zinniadyke.requests._token_schedule import TokenSchedule
from zinniadyke.requests._tokens import hash_token
from zinniadyke.requests._tokens import new_token
from zinniadyke.requests._tokens import token_matches
from zinniadyke.requests._tokens import token_workspace
from zinniadyke.requests._workspace_limiter import WorkspaceLimiter

__all__ = [
    "COLD_LIFETIME_S",
    "SHARE_LIFETIME_S",
    "TOKEN_LIFETIME_S",
    "WRITING_AFTER_S",
    "Claim",
    "ClaimState",
    "ClaimStore",
    "ColdLimit",
    "CrashFindings",
    "CrashLedger",
    "FairQueue",
    "Histograms",
    "Lane",
    "LaneQueue",
    "RetryBudget",
    "TokenSchedule",
    "WorkspaceLimiter",
    "claim_key",
    "cold_share",
    "digest_content",
    "hash_token",
    "make_cold_limit",
    "new_token",
    "token_matches",
    "token_workspace",
]
