"""Processes of a small fleet on loopback, for tests over real sockets."""

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

__all__ = ["Process", "free_port", "start_daemon", "start_stand_ins"]

ENDING_SECONDS = 30.0
# Below the ports that Linux gives to outgoing connections unless told otherwise.
FIRST_FIXED_PORT = 18_000
FIRST_OUTGOING_PORT = 32_000
RANDOM = random.SystemRandom()
STARTING_SECONDS = 30.0


@attrs.define(kw_only=True, eq=False)
class Process:
    """A process that a test started, and where it is reached.

    Attributes
    ----------
    urls : dict
        Base URLs by what is reached there.
    lines : list of str
        What it wrote on standard error.
    """

    popen: subprocess.Popen[str]
    urls: dict
    lines: list[str]

    def terminate(self) -> None:
        """Send SIGTERM."""
        self.popen.terminate()

    def wait(self) -> int:
        """Return the exit code, once it has ended."""
        return self.popen.wait(timeout=ENDING_SECONDS)


@contextlib.contextmanager
def _running(arguments: list[str], document: dict, ready) -> Iterator[Process]:
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
        watchdog = threading.Timer(STARTING_SECONDS, popen.kill)
        watchdog.start()
        lines: list[str] = []
        try:
            urls = ready(popen, lines)
            watchdog.cancel()
            reader = threading.Thread(target=lines.extend, args=(popen.stderr,))
            reader.start()
            yield Process(popen=popen, urls=urls, lines=lines)
            popen.terminate()
            popen.wait(timeout=ENDING_SECONDS)
            reader.join()
        finally:
            watchdog.cancel()
            if popen.poll() is None:
                popen.kill()
                popen.wait()
            popen.stdout.close()
            popen.stderr.close()


def start_stand_ins(endpoints: list[dict]):
    """Run endpoints in a process of their own."""

    def ready(popen: subprocess.Popen[str], lines: list[str]) -> dict:
        assert popen.stdout is not None
        return msgspec.json.decode(popen.stdout.readline())

    return _running(["currantdyke.standins"], {"endpoints": endpoints}, ready)


def start_daemon(settings: dict):
    """Run ``currantdyke serve`` with some settings, on free ports."""
    ports = {"callers_port": 0, "operators_port": 0}

    def ready(popen: subprocess.Popen[str], lines: list[str]) -> dict:
        assert popen.stderr is not None
        for line in popen.stderr:
            lines.append(line)
            found = re.search(r"callers at (\S+), operators at (\S+)", line)
            if found:
                return {"callers": found[1], "operators": found[2]}
        raise AssertionError("the daemon did not start: " + "".join(lines))

    return _running(["currantdyke", "serve"], ports | settings, ready)


def free_port() -> int:
    """Return a port that is free just now, for TCP and UDP on loopback.

    It is one that no outgoing connection is given, since any other test may open
    connections before the port is used.
    """
    while True:
        port = RANDOM.randrange(FIRST_FIXED_PORT, FIRST_OUTGOING_PORT)
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
