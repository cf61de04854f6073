"""Runs all parts of the system in one process, on fakes."""

from zinniadyke.demo._cluster import Cluster
from zinniadyke.demo._cluster import demo_token
from zinniadyke.demo._demo import DemoOptions
from zinniadyke.demo._demo import run_demo
from zinniadyke.demo._deployment import Deployment
from zinniadyke.demo._deployment import DEPLOYMENTS
from zinniadyke.demo._deployment import ServiceSpec
from zinniadyke.demo._replica_sampler import ReplicaSampler
from zinniadyke.demo._report import DemoReport
from zinniadyke.demo._report import format_report
from zinniadyke.demo._traffic import check_completion
from zinniadyke.demo._traffic import Traffic

__all__ = [
    "DEPLOYMENTS",
    "Cluster",
    "DemoOptions",
    "DemoReport",
    "Deployment",
    "ReplicaSampler",
    "ServiceSpec",
    "Traffic",
    "check_completion",
    "demo_token",
    "format_report",
    "run_demo",
]
