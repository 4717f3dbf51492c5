import pathlib
import tempfile
import unittest

import anyio

from currantdyke.bundle import ActiveBundle, BundleFile

FIRST = "services: {}\nworkspaces: {jos: {}}\n"
SECOND = "services: {}\nworkspaces: {jos: {}, ibadan: {}}\n"


class TestBundleFile(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name, "bundle.yaml")
        self.file = BundleFile(path=self.path, active_bundle=ActiveBundle())

    def write_and_read(self, content):
        if content is not None:
            self.path.write_bytes(content.encode())
        return anyio.run(self.file.read)

    def version_and_workspaces(self):
        state = self.file.active_bundle
        return state.version, sorted(state.bundle.workspaces) if state.bundle else None

    def test_each_new_content_becomes_the_next_version(self):
        self.assertTrue(self.write_and_read(FIRST))
        self.assertEqual(self.version_and_workspaces(), (1, ["jos"]))
        self.assertFalse(self.write_and_read(None))
        self.assertTrue(self.write_and_read(SECOND))
        self.assertEqual(self.version_and_workspaces(), (2, ["ibadan", "jos"]))

    def test_restored_content_gets_a_higher_version(self):
        for content in (FIRST, SECOND, FIRST):
            self.assertTrue(self.write_and_read(content))
        self.assertEqual(self.version_and_workspaces(), (3, ["jos"]))

    def test_invalid_content_leaves_the_version_in_force(self):
        self.write_and_read(FIRST)
        for invalid in ("services: [", "pipelines: {}", "services: {}\nextra: 1\n", ""):
            with self.subTest(invalid), self.assertLogs("absl", "ERROR") as logs:
                self.assertFalse(self.write_and_read(invalid))
                self.assertEqual(self.version_and_workspaces(), (1, ["jos"]))
                self.assertIn("version 1 stays", logs.output[0])
        self.assertTrue(self.write_and_read(SECOND))
        self.assertEqual(self.file.problems, [])

    def test_unreadable_file_is_logged_once_with_a_remedy(self):
        with self.assertLogs("absl", "ERROR") as logs:
            for _ in range(3):
                self.assertFalse(anyio.run(self.file.read))
        self.assertEqual(len(logs.output), 1)
        self.assertIn("make the file readable", logs.output[0])
        self.assertEqual(self.version_and_workspaces(), (0, None))

    def test_undecodable_bytes_leave_the_version_in_force(self):
        self.write_and_read(FIRST)
        self.path.write_bytes(b"\xff\xfe\x00")
        with self.assertLogs("absl", "ERROR"):
            self.assertFalse(anyio.run(self.file.read))
        self.assertEqual(self.version_and_workspaces(), (1, ["jos"]))


if __name__ == "__main__":
    unittest.main()
