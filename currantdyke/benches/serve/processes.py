"""The benchmark's processes: stand-in endpoints, one daemon and callers."""

import multiprocessing
import multiprocessing.connection
from collections.abc import Callable
from typing import Any

import anyio
import yaml
from absl import logging

from currantdyke.bundle import hash_key
from currantdyke.bundle.schema import check_bundle
from currantdyke.daemon import RunningDaemon, open_listener, serve, serve_http
from currantdyke.settings import DaemonSettings
from currantdyke.standins import StubEndpoint, stub_endpoint_app

__all__ = [
    "WORKSPACE_KEY",
    "make_bench_bundle",
    "run_daemon",
    "run_standins",
    "spawn_process",
]

LOOPBACK = "127.0.0.1"
WORKSPACE_KEY = "bench-key"
STAGES = ("encode", "retrieve", "rerank", "generate")
ENGINE_SLOTS = 1000
# The bundle is put in force by `run_daemon`, so this file is not read.
UNUSED_BUNDLE_FILE = "/nowhere/bundle.yaml"

Pipe = multiprocessing.connection.Connection


def spawn_process(function: Callable[..., None], *arguments: Any):
    """Run ``function`` in a new process.

    The child's end of the pipe is passed as the first argument.  Waits for the first
    message of the child and returns the process, the parent's end of the pipe and
    that message.
    """
    context = multiprocessing.get_context("spawn")
    parent_end, child_end = context.Pipe()
    process = context.Process(
        target=function, args=(child_end, *arguments), daemon=True
    )
    process.start()
    return process, parent_end, parent_end.recv()


async def _wait_for_stop(pipe: Pipe, stop: anyio.Event) -> None:
    """Set ``stop`` on the first message from the parent."""
    await anyio.to_thread.run_sync(pipe.recv, abandon_on_cancel=True)
    stop.set()


def run_standins(pipe: Pipe, tokens: int, seconds: float, token_seconds: float) -> None:
    """Serve one stand-in endpoint per stage until the parent sends a message."""

    async def main() -> None:
        stop = anyio.Event()
        async with anyio.create_task_group() as tasks:
            urls = {}
            for stage in STAGES:
                listener = open_listener(LOOPBACK, 0)
                standin = StubEndpoint(
                    name=stage,
                    tokens=tokens,
                    seconds=seconds,
                    token_seconds=token_seconds,
                )
                urls[stage] = listener.url
                tasks.start_soon(serve_http, stub_endpoint_app(standin), listener, stop)
            pipe.send(urls)
            await _wait_for_stop(pipe, stop)

    anyio.run(main)


def make_bench_bundle(urls: list[dict[str, str]]) -> str:
    """Return a bundle, as YAML, with the stand-ins of several processes."""
    services = {
        stage: {
            "kind": stage,
            "endpoints": [
                {"name": f"{stage}-{i}", "url": found[stage], "slots": ENGINE_SLOTS}
                for i, found in enumerate(urls)
            ],
        }
        for stage in STAGES
    }
    stages: list[dict[str, Any]] = [
        {"name": stage, "service": stage, "after": list(STAGES[max(0, i - 1) : i])}
        for i, stage in enumerate(STAGES)
    ]
    stages[-1]["max_tokens"] = 100_000
    pipeline = {"deadline": 60.0, "stages": stages}
    return yaml.safe_dump(
        {
            "services": services,
            "pipelines": {"notes": pipeline},
            "workspaces": {"bench": {"key_hashes": [hash_key(WORKSPACE_KEY)]}},
        }
    )


def run_daemon(pipe: Pipe, bundle: str) -> None:
    """Run a daemon with a bundle in force until the parent sends a message."""
    logging.set_verbosity(logging.WARNING)

    async def main() -> None:
        stop = anyio.Event()

        def on_started(running: RunningDaemon) -> None:
            running.daemon.active_bundle.activate(1, check_bundle(bundle).ok)
            pipe.send(running.callers_url)

        settings = DaemonSettings(
            name="entry-1",
            availability_zone="bench",
            callers_port=0,
            operators_port=0,
            bundle_file=UNUSED_BUNDLE_FILE,
            leave_seconds=0.0,
            max_requests_in_flight=5_000,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_wait_for_stop, pipe, stop)
            await serve(settings, stop, on_started=on_started)
            tasks.cancel_scope.cancel()

    anyio.run(main)
