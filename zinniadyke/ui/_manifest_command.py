"""``zinniadyke manifest``."""

import hashlib
import pathlib

from cleo.commands.command import Command
from cleo.helpers import argument
from cleo.helpers import option

from zinniadyke import errors
from zinniadyke import language
from zinniadyke import weights


class ManifestCommand(Command):
    """Writes the manifest of a file of weights next to the file."""

    name = "manifest"
    description = "Writes FILE.manifest and prints the version's digest."
    arguments = [argument("file", "The weights.")]
    options = [
        option("chunk", None, "Chunk size.", flag=False, default="4MiB")
    ]

    def handle(self) -> int:
        """Run the command."""
        path = pathlib.Path(self.argument("file"))
        chunk = language.interpret(self.option("chunk"))
        if not isinstance(chunk, int) or chunk <= 0:
            raise errors.UserError("--chunk must be a size such as 4MiB")
        try:
            manifest = weights.build_manifest(path.read_bytes(), chunk)
            encoded = manifest.encode()
            manifest_path = path.with_name(path.name + weights.MANIFEST_SUFFIX)
            manifest_path.write_bytes(encoded)
        except OSError as error:
            raise errors.UserError(f"{path}: {error.strerror}")
        self.line(hashlib.sha256(encoded).hexdigest())
        return 0
