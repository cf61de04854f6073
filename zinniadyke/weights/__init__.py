"""Manifests, verified in-memory chunks and distribution of weights."""

from zinniadyke.pacing import TokenBucket
from zinniadyke.weights._distribution_tree import ARITY
from zinniadyke.weights._distribution_tree import candidates
from zinniadyke.weights._distribution_tree import holders_after_restart
from zinniadyke.weights._distribution_tree import Placement
from zinniadyke.weights._distribution_tree import seeds
from zinniadyke.weights._fetch import ChunkFetcher
from zinniadyke.weights._fetch import SourceCounts
from zinniadyke.weights._manifest import build_manifest
from zinniadyke.weights._manifest import Manifest
from zinniadyke.weights._manifest import MANIFEST_INDEX
from zinniadyke.weights._manifest import MANIFEST_SUFFIX
from zinniadyke.weights._stage import StagingArea

__all__ = [
    "ARITY",
    "MANIFEST_INDEX",
    "MANIFEST_SUFFIX",
    "ChunkFetcher",
    "Manifest",
    "Placement",
    "SourceCounts",
    "StagingArea",
    "TokenBucket",
    "build_manifest",
    "candidates",
    "holders_after_restart",
    "seeds",
]
