import os
import pathlib
import tempfile
import unittest

import anyio
import attrs
from expression import Error, Ok

from currantdyke.decisionlog import DecisionLog
from currantdyke.emulator import StoreEmulator
from currantdyke.gateway.clocks import StallDetector
from currantdyke.gateway.reload import SettingsFile
from currantdyke.testing.gateways import gateway_settings


class TestReload(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.path = pathlib.Path(self.folder.name) / "node.yaml"
        self.path.write_text("one")
        self.settings = gateway_settings(StoreEmulator(port=1), ())
        self.next = Ok(self.settings)
        self.applied = []
        self.file = SettingsFile(
            path=self.path,
            read=lambda path: self.next,
            current=self.settings,
            log=DecisionLog(daemon="d", descriptor=os.open(os.devnull, os.O_WRONLY)),
            apply=self.applied.append,
        )
        anyio.run(self.file.check)

    def tearDown(self):
        self.folder.cleanup()

    def change(self, result):
        self.next = result
        self.path.write_text(self.path.read_text() + "x")
        anyio.run(self.file.check)

    def test_changed_file_is_applied_without_a_signal(self):
        self.change(Ok(attrs.evolve(self.settings, retry_ratio=0.5)))
        self.assertEqual([one.retry_ratio for one in self.applied], [0.5])

    def test_unchanged_file_is_not_applied_again(self):
        anyio.run(self.file.check)
        self.assertEqual(self.applied, [])

    def test_invalid_file_leaves_the_settings_unchanged(self):
        self.change(Error("line 3: no"))
        self.assertEqual(self.applied, [])
        self.assertEqual(self.file.current, self.settings)

    def test_changed_address_is_not_applied(self):
        self.change(Ok(attrs.evolve(self.settings, caller_address="10.0.0.9:1")))
        self.assertEqual(self.file.current.caller_address, self.settings.caller_address)


class TestStallDetector(unittest.TestCase):
    def test_freeze_and_suspension_are_detected(self):
        clock = {"monotonic": 0.0, "boot": 0.0}
        detector = StallDetector(
            period=0.5,
            monotonic_clock=lambda: clock["monotonic"],
            boot_clock=lambda: clock["boot"],
        )
        stalls = []
        for monotonic, boot in ((0.5, 0.5), (4.0, 4.0), (4.5, 9.5), (5.0, 10.0)):
            clock.update(monotonic=monotonic, boot=boot)
            stalls.append(detector.check())
        self.assertEqual(stalls, [0.0, 3.0, 5.0, 0.0])


if __name__ == "__main__":
    unittest.main()
