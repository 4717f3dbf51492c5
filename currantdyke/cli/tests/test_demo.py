import unittest

from click.testing import CliRunner

from currantdyke.cli.main import main


class TestDemo(unittest.TestCase):
    def test_demo_completes_one_request_over_loopback_and_stops(self):
        result = CliRunner().invoke(main, ["demo"])
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertIn("outcome: done", result.output)
        self.assertIn("drained and stopped", result.output)


class TestTimelineCommand(unittest.TestCase):
    def test_unreachable_daemon_is_reported_by_url(self):
        arguments = ["timeline", "--daemon", "http://127.0.0.1:9"]
        result = CliRunner().invoke(main, arguments)
        self.assertEqual(result.exit_code, 3)
        self.assertIn("no answer from http://127.0.0.1:9", result.output)


class TestRequestCommand(unittest.TestCase):
    def test_unreachable_daemon_is_reported_as_not_run(self):
        arguments = ["request", "notes", "text", "--key", "k"]
        arguments += ["--url", "http://127.0.0.1:9"]
        result = CliRunner().invoke(main, arguments)
        self.assertEqual(result.exit_code, 1)
        self.assertIn("not run", result.output)


if __name__ == "__main__":
    unittest.main()
