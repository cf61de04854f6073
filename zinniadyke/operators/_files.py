"""Finds and reads declaration files."""

import pathlib

from zinniadyke import errors

SUFFIX = ".zd"


def declaration_files(paths: list[str]) -> list[pathlib.Path]:
    """Return the files; a directory is replaced by its ``.zd`` files.

    Raises
    ------
    UserError
        A path does not exist, or a directory has no ``.zd`` files.
    """
    found: list[pathlib.Path] = []
    for name in paths:
        path = pathlib.Path(name)
        if path.is_dir():
            inside = sorted(path.glob(f"*{SUFFIX}"))
            if not inside:
                raise errors.UserError(
                    f"{name}: directory contains no {SUFFIX} files"
                )
            found.extend(inside)
        elif path.is_file():
            found.append(path)
        else:
            raise errors.UserError(f"{name}: no such file or directory")
    return found


def read_text(path: pathlib.Path) -> str:
    """Return a file's text.

    Raises
    ------
    UserError
        The file cannot be read.
    """
    try:
        return path.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.UserError(f"{path}: {error}")
