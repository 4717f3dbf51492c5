"""Send one request from the command line."""

import json

import anyio
import click
import httpx
import httpx_sse

__all__ = ["request_command"]

EXIT_FAILED = 1
CONNECT_TIMEOUT_SECONDS = 5.0


@click.command("request")
@click.argument("pipeline")
@click.argument("input_text", metavar="INPUT")
@click.option("--url", default="http://127.0.0.1:8080", show_default=True)
@click.option(
    "--key",
    envvar="CURRANTDYKE_WORKSPACE_KEY",
    required=True,
    help="The workspace's key.",
)
@click.option("--deadline", type=float, help="Seconds; the pipeline's by default.")
@click.option("--idempotency-key", default="")
@click.option(
    "--output",
    type=click.Choice(["text", "json"]),
    default="text",
    show_default=True,
    help="The tokens as they come, or every event as a line of JSON.",
)
def request_command(
    pipeline: str,
    input_text: str,
    url: str,
    key: str,
    deadline: float | None,
    idempotency_key: str,
    output: str,
) -> None:
    """Send INPUT (JSON, or else plain text) to PIPELINE and show the answer.

    Exits 1 where the request was not answered whole; the message tells whether
    anything ran.
    """
    headers = {"authorization": f"Bearer {key}", "accept": "text/event-stream"}
    if deadline is not None:
        headers["x-deadline-seconds"] = str(deadline)
    if idempotency_key:
        headers["idempotency-key"] = idempotency_key
    target = f"{url}/v1/pipelines/{pipeline}"
    whole = anyio.run(_send, target, headers, _as_json(input_text), output)
    if not whole:
        raise SystemExit(EXIT_FAILED)


def _as_json(text: str):
    try:
        return json.loads(text)
    except ValueError:
        return text


async def _send(url: str, headers: dict[str, str], content, output: str) -> bool:
    timeout = httpx.Timeout(None, connect=CONNECT_TIMEOUT_SECONDS)
    try:
        async with (
            httpx.AsyncClient(timeout=timeout) as client,
            httpx_sse.aconnect_sse(
                client, "POST", url, json={"input": content}, headers=headers
            ) as source,
        ):
            if source.response.status_code != 200:
                await source.response.aread()
                click.echo(source.response.text, err=True)
                return False
            return await _show(source, output)
    except httpx.ConnectError:
        click.echo(f"no daemon at {url}: the request was not run", err=True)
    except httpx.HTTPError as error:
        click.echo(f"the answer broke off: {error!r}; rejoin the request", err=True)
    return False


async def _show(source: httpx_sse.EventSource, output: str) -> bool:
    last = ""
    async for event in source.aiter_sse():
        last = event.event
        data = json.loads(event.data)
        if output == "json":
            click.echo(json.dumps({"id": event.id, "event": last, "data": data}))
        elif last == "accepted":
            click.echo(f"request {data['request_id']}", err=True)
        elif last == "token":
            click.echo(data["text"], nl=False)
        elif last == "error":
            click.echo(data["error"]["message"], err=True)
        elif not _was_streamed(data):
            click.echo(json.dumps(data.get("output")))
        else:
            click.echo()
    return last == "answer"


def _was_streamed(data: dict) -> bool:
    output = data.get("output")
    return isinstance(output, dict) and "tokens" in output
