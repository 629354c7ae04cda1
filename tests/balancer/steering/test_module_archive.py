"""Modules that are imported from one file."""

import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from stoattray_balancer.steering import module_archive
from stoattray_balancer.steering.module_archive import format_archive, install_archive

PACKAGE = "archived_package"
MODULE = f"{PACKAGE}.archived_module"


class ModuleArchiveTest(unittest.TestCase):
    """An archive with one package and one module in it."""

    def setUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = str(Path(folder) / "modules.archive")
        self.package_folder = Path(folder) / PACKAGE
        self.addCleanup(sys.meta_path.__setitem__, slice(None), list(sys.meta_path))
        for name in (PACKAGE, MODULE):
            self.addCleanup(sys.modules.pop, name, None)

    def write(self, *, tag=None):
        package_file = f"{PACKAGE}/__init__.py"
        module_file = f"{PACKAGE}/archived_module.py"
        codes = {
            PACKAGE: (package_file, True, compile("", package_file, "exec")),
            MODULE: (module_file, False, compile("LIMIT = 7", module_file, "exec")),
        }
        tag = tag or module_archive.interpreter_tag()
        with mock.patch.object(module_archive, "interpreter_tag", lambda: tag):
            Path(self.path).write_bytes(format_archive(codes))

    def test_modules_are_imported_from_the_archive(self):
        """Guards against an archive that imports fall through to their folders."""
        self.write()
        self.assertTrue(install_archive(self.path))
        module = __import__(MODULE, fromlist=["LIMIT"])
        self.assertEqual(module.LIMIT, 7)
        self.assertEqual(
            module.__file__, str(self.package_folder / "archived_module.py")
        )
        self.assertEqual(module.__package__, PACKAGE)

    def test_modules_beside_the_archive_are_imported_from_the_package(self):
        """Guards against packages whose extension modules are not found."""
        self.write()
        self.package_folder.mkdir()
        (self.package_folder / "beside.py").write_text("LIMIT = 8")
        self.addCleanup(sys.modules.pop, f"{PACKAGE}.beside", None)
        install_archive(self.path)
        module = __import__(f"{PACKAGE}.beside", fromlist=["LIMIT"])
        self.assertEqual(module.LIMIT, 8)

    def test_missing_archive_is_not_used(self):
        n_finders = len(sys.meta_path)
        self.assertFalse(install_archive(self.path))
        self.assertEqual(len(sys.meta_path), n_finders)

    def test_archive_of_another_interpreter_is_not_used(self):
        """Guards against code that this interpreter can't run."""
        version, prefix = module_archive.interpreter_tag()
        for tag in ((version + "+", prefix), (version, prefix + "/other")):
            self.write(tag=tag)
            self.assertFalse(install_archive(self.path))

    def test_moved_archive_finds_the_files_beside_it(self):
        """Guards against packages that are looked for where they were built."""
        self.write()
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        path = Path(self.path).rename(folder / "modules.archive")
        self.assertTrue(install_archive(str(path)))
        package = __import__(PACKAGE)
        self.assertEqual(package.__path__, [str(folder / PACKAGE)])

    def test_truncated_archive_is_not_used(self):
        """Guards against a process that can't start after an interrupted build."""
        self.write()
        data = Path(self.path).read_bytes()
        for n_bytes in (0, 1, len(data) // 2, len(data) - 1):
            Path(self.path).write_bytes(data[:n_bytes])
            self.assertFalse(install_archive(self.path))


if __name__ == "__main__":
    unittest.main()
