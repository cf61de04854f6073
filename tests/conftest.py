"""Patch the standard library before any other module is imported."""

from zinniadyke import _runtime

_runtime.patch()
