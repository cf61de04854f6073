"""Weights: manifests, verified chunks in memory, and their distribution."""

from zinniadyke.pacing import TokenBucket
from zinniadyke.weights._fetch import ChunkFetcher
from zinniadyke.weights._fetch import SourceCounts
from zinniadyke.weights._manifest import build_manifest
from zinniadyke.weights._manifest import Manifest
from zinniadyke.weights._manifest import MANIFEST_INDEX
from zinniadyke.weights._manifest import MANIFEST_SUFFIX
from zinniadyke.weights._plan import ARITY
from zinniadyke.weights._plan import candidates
from zinniadyke.weights._plan import former_life
from zinniadyke.weights._plan import Placement
from zinniadyke.weights._plan import seeds
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
    "former_life",
    "seeds",
]
