"""Stores the modules that a balancer imports at its start in one file.

``python3 deploy/archive_modules.py target/deps`` imports the program from that folder
and writes ``target/deps/modules.archive``. Docstrings and column tables are left out of
libraries; assertions of stoattray's own modules stay.
"""

import sys
from collections.abc import Iterator
from importlib import import_module
from pathlib import Path
from types import CodeType

from stoattray_balancer.steering.module_archive import format_archive

MODULES = ("stoattray_platform.program", "stoattray_balancer.steering._line_buffer")
"""The program, and what it imports when it writes the first lines of its log."""

ARCHIVE = "modules.archive"
OWN_PREFIX = "stoattray_"


def compiled_modules() -> Iterator[tuple[str, str, bool, CodeType]]:
    """Yield name, file, whether it is a package, and code of each imported module."""
    for name, module in list(sys.modules.items()):
        spec = getattr(module, "__spec__", None)
        if spec is None or spec.name != name or not str(spec.origin).endswith(".py"):
            continue
        optimize = 0 if name.startswith(OWN_PREFIX) else 2
        source = Path(spec.origin).read_bytes()
        code = compile(
            source, spec.origin, "exec", dont_inherit=True, optimize=optimize
        )
        yield name, spec.origin, spec.submodule_search_locations is not None, code


def main() -> int:
    """Write the archive."""
    folder = Path(sys.argv[1]).resolve()
    for name in MODULES:
        import_module(name)
    codes = {
        name: (file.removeprefix(f"{folder}/"), is_package, code)
        for name, file, is_package, code in compiled_modules()
    }
    (folder / ARCHIVE).write_bytes(format_archive(codes))
    return 0


if __name__ == "__main__":
    sys.exit(main())
