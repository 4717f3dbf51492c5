"""Processes of a small fleet on loopback, for tests with real sockets."""

import contextlib
import os
import random
import re
import socket
import subprocess
import sys
import tempfile
import threading
from collections.abc import Iterator

import attrs
import msgspec
import yaml

__all__ = ["Process", "free_port", "start_daemon", "start_endpoints"]

EXIT_TIMEOUT_SECONDS = 30.0
# Below the default ephemeral port range of Linux.
FIRST_FREE_PORT = 18_000
END_FREE_PORT = 32_000
RANDOM = random.SystemRandom()
START_TIMEOUT_SECONDS = 30.0


@attrs.define(kw_only=True, eq=False)
class Process:
    """A process started by a test.

    Attributes
    ----------
    urls : dict
        Base URLs of its servers, by name.
    lines : list of str
        Lines that it wrote to standard error.
    """

    popen: subprocess.Popen[str]
    urls: dict
    lines: list[str]

    def terminate(self) -> None:
        """Send SIGTERM."""
        self.popen.terminate()

    def wait(self) -> int:
        """Wait for the process to exit and return its exit code."""
        return self.popen.wait(timeout=EXIT_TIMEOUT_SECONDS)


@contextlib.contextmanager
def _run_process(
    arguments: list[str], document: dict, wait_until_ready
) -> Iterator[Process]:
    with tempfile.NamedTemporaryFile("w", suffix=".yaml") as file:
        yaml.safe_dump(document, file)
        file.flush()
        popen = subprocess.Popen(
            [sys.executable, "-m", *arguments, file.name],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            env=os.environ | {"PYTHONWARNINGS": "ignore"},
        )
        assert popen.stdout is not None and popen.stderr is not None
        watchdog = threading.Timer(START_TIMEOUT_SECONDS, popen.kill)
        watchdog.start()
        lines: list[str] = []
        try:
            urls = wait_until_ready(popen, lines)
            watchdog.cancel()
            reader = threading.Thread(target=lines.extend, args=(popen.stderr,))
            reader.start()
            yield Process(popen=popen, urls=urls, lines=lines)
            popen.terminate()
            popen.wait(timeout=EXIT_TIMEOUT_SECONDS)
            reader.join()
        finally:
            watchdog.cancel()
            if popen.poll() is None:
                popen.kill()
                popen.wait()
            popen.stdout.close()
            popen.stderr.close()


def start_endpoints(endpoints: list[dict]):
    """Run endpoints in a separate process."""

    def wait_until_ready(popen: subprocess.Popen[str], lines: list[str]) -> dict:
        assert popen.stdout is not None
        return msgspec.json.decode(popen.stdout.readline())

    return _run_process(
        ["currantdyke.standins"], {"endpoints": endpoints}, wait_until_ready
    )


def start_daemon(settings: dict):
    """Run ``currantdyke serve`` with the given settings on free ports."""
    ports = {"callers_port": 0, "operators_port": 0}

    def wait_until_ready(popen: subprocess.Popen[str], lines: list[str]) -> dict:
        assert popen.stderr is not None
        for line in popen.stderr:
            lines.append(line)
            match = re.search(r"callers at (\S+), operators at (\S+)", line)
            if match:
                return {"callers": match[1], "operators": match[2]}
        raise AssertionError("the daemon did not start: " + "".join(lines))

    return _run_process(["currantdyke", "serve"], ports | settings, wait_until_ready)


def free_port() -> int:
    """Return a loopback port that is currently free for TCP and UDP.

    The port lies below the ephemeral range, since an outgoing connection of another
    test could otherwise take it before it is used.
    """
    while True:
        port = RANDOM.randrange(FIRST_FREE_PORT, END_FREE_PORT)
        try:
            with (
                socket.socket(socket.AF_INET, socket.SOCK_STREAM) as stream,
                socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams,
            ):
                stream.bind(("127.0.0.1", port))
                datagrams.bind(("127.0.0.1", port))
        except OSError:
            continue
        return port
