import os
import pathlib
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import unittest

from currantdyke.testing.processes import free_port

ROOT = pathlib.Path(__file__).resolve().parents[3]
LAUNCHER_SCRIPT = """#!{python}
import sys
sys.path.insert(0, {root!r})
from currantdyke.cli.main import main
main(prog_name="currantdyke")
"""
TIMEOUT_SECONDS = 60.0


class TestReadme(unittest.TestCase):
    """Run the shell blocks of the README unchanged except for free ports."""

    def setUp(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="currantdyke-readme-"))
        self.addCleanup(shutil.rmtree, self.folder, ignore_errors=True)
        page = (ROOT / "README.md").read_text()
        self.blocks = re.findall(r"```sh\n(.*?)```", page, re.DOTALL)
        shutil.copytree(ROOT / "examples", self.folder / "examples")
        self.assign_free_ports()
        binaries = self.folder / ".venv" / "bin"
        binaries.mkdir(parents=True)
        command = binaries / "currantdyke"
        command.write_text(
            LAUNCHER_SCRIPT.format(python=sys.executable, root=str(ROOT))
        )
        command.chmod(0o755)
        python = binaries / "python"
        python.write_text(f'#!/bin/sh\nexec {sys.executable} "$@"\n')
        python.chmod(0o755)
        self.environment = {**os.environ, "PYTHONPATH": str(ROOT)}

    def assign_free_ports(self):
        files = sorted((self.folder / "examples").iterdir())
        text = "".join(file.read_text() for file in files)
        port_numbers = sorted(set(re.findall(r"\b4\d{4}\b", text)))
        ports = dict(
            zip(port_numbers, [str(free_port()) for _ in port_numbers], strict=True)
        )

        def replace_ports(content):
            return re.sub(r"\b4\d{4}\b", lambda m: ports[m.group()], content)

        for file in files:
            file.write_text(replace_ports(file.read_text()))
        self.blocks = [replace_ports(block) for block in self.blocks]
        self.ready_url = f"http://127.0.0.1:{ports['48081']}"

    def start_in_background(self, block):
        script = "set -eu\n" + block + "\nwait\n"
        process = subprocess.Popen(
            ["bash", "-c", script],
            cwd=self.folder,
            env=self.environment,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            start_new_session=True,
        )
        self.addCleanup(process.wait)
        self.addCleanup(os.killpg, process.pid, signal.SIGTERM)

    def run_block(self, block):
        result = subprocess.run(
            ["bash", "-c", "set -eu\n" + block],
            cwd=self.folder,
            env=self.environment,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_SECONDS,
            check=False,
        )
        return result.returncode, result.stdout + result.stderr

    def retry_until_success(self, block):
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while True:
            code, output = self.run_block(block)
            if code == 0 or time.monotonic() > deadline:
                return code, output
            time.sleep(0.3)

    def test_shell_blocks_run_to_a_complete_answer(self):
        serve, use = self.blocks
        self.start_in_background(serve)
        code, output = self.retry_until_success(
            'export PATH="$PWD/.venv/bin:$PATH"\n' + use
        )
        self.assertEqual(code, 0, output)
        self.assertIn(":23", output)
        self.assertIn("settled", output)


if __name__ == "__main__":
    unittest.main()
