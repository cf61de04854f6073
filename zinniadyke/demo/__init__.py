"""The whole path in one process, on the stand-ins."""

from zinniadyke.demo._cluster import Cluster
from zinniadyke.demo._demo import DemoOptions
from zinniadyke.demo._demo import run_demo
from zinniadyke.demo._deployment import Deployment
from zinniadyke.demo._deployment import DEPLOYMENTS
from zinniadyke.demo._deployment import ServiceSpec
from zinniadyke.demo._report import DemoReport

__all__ = [
    "DEPLOYMENTS",
    "Cluster",
    "DemoOptions",
    "DemoReport",
    "Deployment",
    "ServiceSpec",
    "run_demo",
]
