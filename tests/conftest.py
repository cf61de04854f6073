"""Prepares the test process before anything else is imported."""

from zinniadyke import _runtime

_runtime.patch()
