"""Command that sends one request."""

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
    help="API key of the workspace.",
)
@click.option(
    "--deadline",
    type=float,
    help="Deadline in seconds; by default that of the pipeline.",
)
@click.option("--idempotency-key", default="")
@click.option(
    "--output",
    type=click.Choice(["text", "json"]),
    default="text",
    show_default=True,
    help="Tokens as they arrive, or each event as a line of JSON.",
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
    """Send INPUT to PIPELINE and print the answer.

    INPUT that is not valid JSON is sent as text. Exits 1 if the request was not
    answered completely; the error message of the daemon states whether anything ran.
    """
    headers = {"authorization": f"Bearer {key}", "accept": "text/event-stream"}
    if deadline is not None:
        headers["x-deadline-seconds"] = str(deadline)
    if idempotency_key:
        headers["idempotency-key"] = idempotency_key
    target = f"{url}/v1/pipelines/{pipeline}"
    answered = anyio.run(
        _send_request, target, headers, _parse_input(input_text), output
    )
    if not answered:
        raise SystemExit(EXIT_FAILED)


def _parse_input(text: str):
    try:
        return json.loads(text)
    except ValueError:
        return text


async def _send_request(
    url: str, headers: dict[str, str], content, output: str
) -> bool:
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
            return await _print_events(source, output)
    except httpx.ConnectError:
        click.echo(f"cannot connect to {url}; the request was not run", err=True)
    except httpx.HTTPError as error:
        click.echo(
            f"response interrupted: {error!r}; reconnect to the request", err=True
        )
    return False


async def _print_events(source: httpx_sse.EventSource, output: str) -> bool:
    event_name = ""
    async for event in source.aiter_sse():
        event_name = event.event
        data = json.loads(event.data)
        if output == "json":
            click.echo(json.dumps({"id": event.id, "event": event_name, "data": data}))
        elif event_name == "accepted":
            click.echo(f"request {data['request_id']}", err=True)
        elif event_name == "token":
            click.echo(data["text"], nl=False)
        elif event_name == "error":
            click.echo(data["error"]["message"], err=True)
        elif not _was_streamed(data):
            click.echo(json.dumps(data.get("output")))
        else:
            click.echo()
    return event_name == "answer"


def _was_streamed(data: dict) -> bool:
    output = data.get("output")
    return isinstance(output, dict) and "tokens" in output
