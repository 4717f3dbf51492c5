import pathlib
import re
import tempfile
import unittest

from click.testing import CliRunner

from currantdyke.cli.main import main

ROOT = pathlib.Path(__file__).resolve().parents[3]


def run_check(text):
    with tempfile.NamedTemporaryFile("w", suffix=".yaml") as file:
        file.write(text)
        file.flush()
        return CliRunner().invoke(main, ["check", file.name])


class TestCheck(unittest.TestCase):
    def test_unknown_key_is_rejected_with_remedy(self):
        result = run_check(
            "name: entry-1\navailability_zone: a\nbundle_file: u\nport: 80\n"
        )
        self.assertEqual(result.exit_code, 2)
        self.assertIn("unknown keys port; remove or correct them", result.output)

    def test_value_out_of_range_is_reported_with_its_line(self):
        text = (
            "name: entry-1\navailability_zone: a\nbundle_file: u\ncallers_port: 99999\n"
        )
        result = run_check(text)
        self.assertEqual(result.exit_code, 2)
        self.assertIn("line 4: $.callers_port: callers_port is 99999", result.output)

    def test_bundle_with_an_unknown_service_is_rejected(self):
        result = run_check(
            "services: {}\n"
            "pipelines: {notes: {stages: [{name: encode, service: encoder}]}}\n"
        )
        self.assertEqual(result.exit_code, 2)
        self.assertIn("unknown service 'encoder'", result.output)


class TestPages(unittest.TestCase):
    def test_settings_in_operators_page_are_valid(self):
        page = (ROOT / "docs" / "OPERATORS.md").read_text()
        blocks = re.findall(r"```yaml\n(.*?)```", page, re.DOTALL)
        self.assertTrue(blocks)
        for block in blocks:
            result = run_check(re.sub(r"^ {3}", "", block, flags=re.MULTILINE))
            self.assertEqual(result.exit_code, 0, result.output)

    def test_commands_and_options_in_documentation_exist(self):
        pages = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
        blocks = [
            block
            for page in pages
            for block in re.findall(r"```\w*\n(.*?)```", page.read_text(), re.DOTALL)
        ]
        lines = [
            line.strip()
            for block in blocks
            for line in block.splitlines()
            if re.match(r"\s*currantdyke [a-z]", line)
        ]
        self.assertTrue(lines)
        for line in lines:
            with self.subTest(line=line):
                self.check_command_line(line.split(">")[0].split())

    def check_command_line(self, words):
        command, names = main, []
        for word in words[1:]:
            if not hasattr(command, "commands") or word not in command.commands:
                break
            command = command.commands[word]
            names.append(word)
        self.assertTrue(names, "no such command")
        known = {o for p in command.params for o in p.opts} | {"--help"}
        used = {word.split("=")[0] for word in words if word.startswith("--")}
        self.assertEqual(used - known, set())


if __name__ == "__main__":
    unittest.main()
