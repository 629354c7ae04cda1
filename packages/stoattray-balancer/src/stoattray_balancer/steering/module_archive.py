"""Imports modules from one file, in which the build has stored them compiled.

A start otherwise searches folders and opens a file for each of some 170 modules. On a
small VM that takes a third of the time until the first packet is forwarded.
"""

import marshal
import os
import sys
from importlib.machinery import ModuleSpec
from types import CodeType, ModuleType


class ModuleArchive:
    """Finder and loader of the modules in an archive.

    Extension modules are not in it; they are imported from the folders of their
    packages as usual.

    Parameters
    ----------
    folder : str
        Folder of the archive, which relative files are in.
    modules : dict of str to (str, bool, bytes)
        File, whether it is a package, and marshalled code of each module by name.
    """

    def __init__(
        self, folder: str, modules: dict[str, tuple[str, bool, bytes]]
    ) -> None:
        self._folder = folder
        self._modules = modules

    def find_spec(
        self, name: str, path: object = None, target: object = None
    ) -> ModuleSpec | None:
        """Return the spec of a module; None if the archive lacks it."""
        entry = self._modules.get(name)
        if entry is None:
            return None
        file, is_package, _ = entry
        file = os.path.join(self._folder, file)
        spec = ModuleSpec(name, self, origin=file, is_package=is_package)
        spec.has_location = True
        if is_package:
            spec.submodule_search_locations = [file.rpartition("/")[0]]
        return spec

    def create_module(self, spec: ModuleSpec) -> ModuleType | None:
        """Return None, so that the import system creates the module."""

    def exec_module(self, module: ModuleType) -> None:
        """Run the code of a module in its namespace."""
        _, _, data = self._modules[module.__name__]
        exec(marshal.loads(data), module.__dict__)


def install_archive(path: str) -> bool:
    """Import modules from an archive from now on, where it has them.

    Parameters
    ----------
    path : str
        The archive. One that is missing or damaged, or that another interpreter
        wrote, is not used.

    Returns
    -------
    bool
        Whether the archive is used.
    """
    try:
        with open(path, "rb") as file:
            tag, modules = marshal.loads(file.read())
    except (OSError, ValueError, EOFError, TypeError):
        return False
    if tag != interpreter_tag():
        return False
    sys.meta_path.insert(0, ModuleArchive(os.path.dirname(path), modules))
    return True


def format_archive(codes: dict[str, tuple[str, bool, CodeType]]) -> bytes:
    """Return the contents of an archive.

    Parameters
    ----------
    codes : dict of str to (str, bool, CodeType)
        File, whether it is a package, and code of each module by name. Relative
        files are in the folder of the archive, so that both can be moved.
    """
    modules = {
        name: (file, is_package, marshal.dumps(code))
        for name, (file, is_package, code) in codes.items()
    }
    return marshal.dumps((interpreter_tag(), modules))


def interpreter_tag() -> tuple[str, str]:
    """Return what an archive depends on: version and folder of the interpreter."""
    return sys.version, sys.base_prefix
