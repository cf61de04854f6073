"""Client of the operators' API, and reading of declaration files."""

from zinniadyke.operators._client import from_environment
from zinniadyke.operators._client import OperatorClient
from zinniadyke.operators._files import declaration_files
from zinniadyke.operators._files import read_text

__all__ = [
    "OperatorClient",
    "declaration_files",
    "from_environment",
    "read_text",
]
