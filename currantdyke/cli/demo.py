"""Demonstration of one request to a daemon with stub endpoints on loopback."""

import functools
import pathlib
import tempfile
from typing import Any

import anyio
import anyio.abc
import click
import httpx
import httpx_sse
import msgspec
import yaml

from currantdyke.bundle import hash_key
from currantdyke.daemon import RunningDaemon, open_listener, serve, serve_http
from currantdyke.settings import DaemonSettings
from currantdyke.standins import StubEndpoint, stub_endpoint_app

__all__ = ["demo_bundle", "run_demo"]

WORKSPACE_KEY = "demo-key"
LOOPBACK_ADDRESS = "127.0.0.1"
SERVICE_KINDS = {
    "encoder": "encode",
    "retriever": "retrieve",
    "reranker": "rerank",
    "generator": "generate",
    "entry-desk": "plain",
}
STAGE_SECONDS = 0.02
TOKEN_SECONDS = 0.02


def demo_bundle(urls: dict[str, str]) -> str:
    """Return a bundle with one endpoint per service, as YAML."""
    services = {
        name: {
            "kind": kind,
            "endpoints": [{"name": f"{name}-1", "url": urls[name]}],
        }
        for name, kind in SERVICE_KINDS.items()
    }
    chain = ["encoder", "retriever", "reranker", "generator"]
    stages: list[dict[str, Any]] = [
        {
            "name": SERVICE_KINDS[name],
            "service": name,
            "after": [SERVICE_KINDS[previous] for previous in chain[:i]],
        }
        for i, name in enumerate(chain)
    ]
    stages[2]["optional"] = True
    workspace = {"key_hashes": [hash_key(WORKSPACE_KEY)]}
    return yaml.safe_dump(
        {
            "services": services,
            "pipelines": {"tasting-notes": {"deadline": 6.0, "stages": stages}},
            "workspaces": {"jos-presses": workspace},
        },
        sort_keys=False,
    )


async def run_demo() -> None:
    """Run stub endpoints and one daemon, and send one streamed request."""
    with tempfile.TemporaryDirectory(prefix="currantdyke-") as folder:
        await _run_demo(pathlib.Path(folder, "bundle.yaml"))
    click.echo("\nthe daemon drained and stopped")


async def _run_demo(bundle_file: pathlib.Path) -> None:
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        bundle_file.write_text(demo_bundle(_start_stub_endpoints(tasks, stop)))
        settings = DaemonSettings(
            name="entry-1",
            availability_zone="jos-a",
            callers_port=0,
            operators_port=0,
            bundle_file=str(bundle_file),
            leave_seconds=0.0,
        )
        ready = anyio.Event()
        daemons: list[RunningDaemon] = []

        def on_started(running: RunningDaemon) -> None:
            daemons.append(running)
            ready.set()

        tasks.start_soon(
            functools.partial(serve, settings, stop, on_started=on_started)
        )
        await ready.wait()
        # The request needs the bundle, which the daemon's timer may not have read yet.
        await daemons[0].daemon.bundle_file.read()
        async with httpx.AsyncClient(timeout=10.0) as client:
            request_id = await _send_request(client, daemons[0])
            await _print_timeline(client, daemons[0], request_id)
        stop.set()


def _start_stub_endpoints(
    tasks: anyio.abc.TaskGroup, stop: anyio.Event
) -> dict[str, str]:
    """Serve one stub endpoint per service; return the URLs by service name."""
    urls = {}
    for name in SERVICE_KINDS:
        standin = StubEndpoint(
            name=f"{name}-1", seconds=STAGE_SECONDS, token_seconds=TOKEN_SECONDS
        )
        listener = open_listener(LOOPBACK_ADDRESS, 0)
        urls[name] = listener.url
        tasks.start_soon(serve_http, stub_endpoint_app(standin), listener, stop)
    return urls


async def _send_request(client: httpx.AsyncClient, running: RunningDaemon) -> str:
    request_id = ""
    async with httpx_sse.aconnect_sse(
        client,
        "POST",
        f"{running.callers_url}/v1/pipelines/tasting-notes",
        json={"input": "What did the judges say of flight 12?"},
        headers={
            "authorization": f"Bearer {WORKSPACE_KEY}",
            "accept": "text/event-stream",
            "x-deadline-seconds": "6",
        },
    ) as source:
        async for event in source.aiter_sse():
            data = msgspec.json.decode(event.data)
            if event.event == "accepted":
                request_id = data["request_id"]
                click.echo(f"request {request_id}\ntokens: ", nl=False)
            elif event.event == "token":
                index = data["text"].strip().rpartition(":")[2]
                click.echo(f"{index} ", nl=False)
            else:
                _print_outcome(data)
    return request_id


def _print_outcome(data: dict) -> None:
    click.echo(f"\noutcome: {data['outcome']}\n")
    click.echo(f"{'stage':<12}{'endpoint':<16}{'seconds':>8}{'endpoint seconds':>18}")
    for record in data["stages"]:
        click.echo(
            f"{record['stage']:<12}{record['endpoint']:<16}"
            f"{record['seconds']:>8.3f}{record['cost_seconds']:>18.3f}"
        )


async def _print_timeline(
    client: httpx.AsyncClient, running: RunningDaemon, request_id: str
) -> None:
    url = f"{running.operators_url}/timeline"
    response = await client.get(url, params={"request": request_id})
    events = response.json()
    click.echo("\ntimeline (milliseconds since the request was accepted)")
    start = events[0]["time"]["wall"]
    for event in events:
        elapsed_ms = (event["time"]["wall"] - start) / 1000
        click.echo(
            f"{elapsed_ms:>8.1f}  {event['duty']:<10}{event['name']:<12}"
            f"{event['stage']:<10}{event['endpoint']:<14}{event['detail']}"
        )
