"""Request path of an entry host on the users' platform."""

from zinniadyke.gateway._gateway import Gateway

__all__ = ["Gateway"]
