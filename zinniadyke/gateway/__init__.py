"""The entry's request path on the users' platform."""

from zinniadyke.gateway._gateway import Gateway

__all__ = ["Gateway"]
