"""Weight distribution and safe request serving for bursts."""

__version__ = "0.1.0"
