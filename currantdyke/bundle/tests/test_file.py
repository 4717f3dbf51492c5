import pathlib
import tempfile
import unittest

import anyio

from currantdyke.bundle import BundleFile, BundleInForce

FIRST = "services: {}\nworkspaces: {jos: {}}\n"
SECOND = "services: {}\nworkspaces: {jos: {}, ibadan: {}}\n"


class TestBundleFile(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name, "bundle.yaml")
        self.file = BundleFile(path=self.path, in_force=BundleInForce())

    def read(self, content):
        if content is not None:
            self.path.write_bytes(content.encode())
        return anyio.run(self.file.read)

    def in_force(self):
        held = self.file.in_force
        return held.version, sorted(held.bundle.workspaces) if held.bundle else None

    def test_each_new_content_is_the_next_version(self):
        self.assertTrue(self.read(FIRST))
        self.assertEqual(self.in_force(), (1, ["jos"]))
        self.assertFalse(self.read(None))
        self.assertTrue(self.read(SECOND))
        self.assertEqual(self.in_force(), (2, ["ibadan", "jos"]))

    def test_earlier_content_comes_back_as_a_higher_version(self):
        for content in (FIRST, SECOND, FIRST):
            self.assertTrue(self.read(content))
        self.assertEqual(self.in_force(), (3, ["jos"]))

    def test_content_that_is_not_valid_leaves_the_version_in_force(self):
        self.read(FIRST)
        for broken in ("services: [", "pipelines: {}", "services: {}\nextra: 1\n", ""):
            with self.subTest(broken), self.assertLogs("absl", "ERROR") as logs:
                self.assertFalse(self.read(broken))
                self.assertEqual(self.in_force(), (1, ["jos"]))
                self.assertIn("version 1 stays", logs.output[0])
        self.assertTrue(self.read(SECOND))
        self.assertEqual(self.file.problems, [])

    def test_file_that_cannot_be_read_is_named_once_with_a_remedy(self):
        with self.assertLogs("absl", "ERROR") as logs:
            for _ in range(3):
                self.assertFalse(anyio.run(self.file.read))
        self.assertEqual(len(logs.output), 1)
        self.assertIn("make the file readable", logs.output[0])
        self.assertEqual(self.in_force(), (0, None))

    def test_bytes_that_are_no_text_change_nothing(self):
        self.read(FIRST)
        self.path.write_bytes(b"\xff\xfe\x00")
        with self.assertLogs("absl", "ERROR"):
            self.assertFalse(anyio.run(self.file.read))
        self.assertEqual(self.in_force(), (1, ["jos"]))


if __name__ == "__main__":
    unittest.main()
