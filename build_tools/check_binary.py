"""Start the binary as a daemon and check that it runs as a single process.

Prints, for a first start (which unpacks the binary) and a second one, the seconds until
the daemon listens, its resident memory and its number of child processes.  Exits with
status 1 if there are any child processes.
"""

import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

import psutil

BINARY = pathlib.Path(__file__).resolve().parent.parent / "dist" / "currantdyke"
START_LIMIT_SECONDS = 60.0
SETTINGS = """\
name: entry-1
availability_zone: jos-a
callers_port: {callers}
operators_port: {operators}
bundle_file: /nowhere/bundle.yaml
"""


def free_port() -> int:
    """Return a TCP port that was free when it was probed."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def start_binary(settings: pathlib.Path, port: int, root: str):
    """Start the binary and return its process and the seconds until it listens."""
    started = time.monotonic()
    environment = {**os.environ, "SHIV_ROOT": root}
    process = subprocess.Popen([BINARY, "serve", settings], env=environment)
    while time.monotonic() - started < START_LIMIT_SECONDS:
        with socket.socket() as probe:
            if probe.connect_ex(("127.0.0.1", port)) == 0:
                return process, time.monotonic() - started
        time.sleep(0.01)
    process.kill()
    raise SystemExit("the binary did not listen within the start limit")


def main() -> int:
    """Start the binary twice; the first start unpacks it."""
    root = tempfile.mkdtemp(prefix="currantdyke-")
    callers, operators = free_port(), free_port()
    settings = pathlib.Path(root) / "settings.yaml"
    settings.write_text(SETTINGS.format(callers=callers, operators=operators))
    child_count = 0
    for label in ("first start", "second start"):
        process, seconds = start_binary(settings, operators, root)
        process_info = psutil.Process(process.pid)
        child_count += len(process_info.children(recursive=True))
        resident = process_info.memory_info().rss / 1024 / 1024
        print(f"{label}: {seconds:.2f} s, {resident:.0f} MiB resident, ", end="")
        print(f"process {process.pid} with {child_count} child processes so far")
        process.send_signal(signal.SIGTERM)
        if process.wait(timeout=30) != 0:
            raise SystemExit(
                f"the binary exited with status {process.returncode}, expected 0"
            )
    shutil.rmtree(root)
    return 1 if child_count else 0


if __name__ == "__main__":
    sys.exit(main())
