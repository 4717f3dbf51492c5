import json
import pathlib
import tempfile
import unittest

from click.testing import CliRunner

from currantdyke.cli.main import main

LINES = [
    {
        "time": 9.0,
        "daemon": "edge-2",
        "event": "placed",
        "request": "a1",
        "endpoint": "i-1",
        "stages_seconds": 0.61,
    },
    {"time": 8.2, "daemon": "edge-1", "event": "store_lost", "reason": "reset"},
    {"time": 8.4, "daemon": "edge-3", "event": "store_lost", "reason": "reset"},
    {
        "time": 8.9,
        "daemon": "edge-2",
        "event": "stage_call_failed",
        "requests": ["z", "a1"],
        "reason": "silent",
    },
    {
        "time": 9.9,
        "daemon": "edge-1",
        "event": "request_ended",
        "request": "a1",
        "outcome": "stage_failed",
        "seconds": 1.4,
        "attempts": [["i-1", "no answer: reset", 0.7]],
    },
    {
        "time": 9.9,
        "daemon": "edge-1",
        "event": "request_ended",
        "request": "b2",
        "outcome": "answered",
        "seconds": 0.1,
        "attempts": [],
    },
]


class TestExplain(unittest.TestCase):
    def run_command(self, request: str):
        with tempfile.TemporaryDirectory() as folder:
            files = []
            for daemon in ("edge-1", "edge-2", "edge-3"):
                path = pathlib.Path(folder) / f"{daemon}.log"
                lines = [json.dumps(line) for line in LINES if line["daemon"] == daemon]
                path.write_text("\n".join(["not json", *lines]))
                files.append(str(path))
            return CliRunner().invoke(main, ["explain", request, *files])

    def test_lines_of_all_daemons_are_ordered_and_include_prior_state_changes(self):
        result = self.run_command("a1")
        self.assertEqual(result.exit_code, 0, result.output)
        events = [
            line.split()[2]
            for line in result.output.splitlines()
            if line.startswith(" ") and "edge-" in line
        ]
        self.assertEqual(
            events, ["store_lost", "stage_call_failed", "placed", "request_ended"]
        )
        self.assertIn("0.700  i-1 (no answer: reset)", result.output)

    def test_unknown_request_exits_1(self):
        result = self.run_command("c3")
        self.assertEqual(result.exit_code, 1)


if __name__ == "__main__":
    unittest.main()
