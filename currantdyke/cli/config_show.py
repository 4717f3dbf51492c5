"""What the configuration commands print."""

import datetime
from collections.abc import Iterable, Iterator, Sequence
from typing import Any

import anyio
import httpx

from currantdyke.bundle.change import Edit, Record
from currantdyke.bundle.content import Content

__all__ = ["daemon_states", "edit_lines", "history_lines", "status_lines"]

ASK_TIMEOUT_SECONDS = 3.0
ASKED_AT_ONCE = 50


def edit_lines(edits: Iterable[Edit], content: Content) -> Iterator[str]:
    """Yield two lines at most for each edit: the old text and the new one.

    Examples
    --------
    >>> added = Edit(path="workspaces/jos", text='{"share":2.0}', replaces="")
    >>> list(edit_lines([added], Content.of_items(())))
    ['+ workspaces/jos {"share":2.0}']
    """
    for edit in edits:
        old = content.get(edit.path)
        if old is not None:
            yield f"- {edit.path} {old.decode()}"
        if edit.text is not None:
            yield f"+ {edit.path} {edit.text}"


def history_lines(records: Iterable[Record]) -> Iterator[str]:
    """Yield one line a version, newest first."""
    for record in records:
        change = record.change
        rolled = record.rolled.operator if record.rolled else ""
        what = f"restores {change.restores}" if change.restores else ""
        yield (
            f"{record.version:>8}  {wall_text(record.rolled_at)}  {change.change_id}  "
            f"proposed by {change.proposer}, signed off by "
            f"{record.signed_off.operator}, rolled by {rolled}  "
            f"{len(change.edits) or 'many'} edits  {what}{change.comment}"
        ).rstrip()


def wall_text(seconds: float) -> str:
    """Return a wall-clock time for people.

    Examples
    --------
    >>> wall_text(0.0)
    '1970-01-01 00:00:00Z'
    """
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return f"{moment:%Y-%m-%d %H:%M:%SZ}"


async def daemon_states(
    client: httpx.AsyncClient, urls: Sequence[str]
) -> list[dict[str, Any]]:
    """Ask each daemon's operators' face for its configuration."""
    states: dict[str, dict[str, Any]] = {}
    limiter = anyio.CapacityLimiter(ASKED_AT_ONCE)

    async def ask(url: str) -> None:
        async with limiter:
            states[url] = await _state(client, url)

    async with anyio.create_task_group() as tasks:
        for url in urls:
            tasks.start_soon(ask, url)
    return [states[url] for url in urls]


async def _state(client: httpx.AsyncClient, url: str) -> dict[str, Any]:
    try:
        answer = await client.get(f"{url}/configuration", timeout=ASK_TIMEOUT_SECONDS)
        answer.raise_for_status()
        return {**answer.json(), "url": url}
    except (httpx.HTTPError, ValueError) as error:
        return {"url": url, "daemon": url, "problem": type(error).__name__}


def status_lines(
    records: Sequence[Record], states: Sequence[dict[str, Any]]
) -> tuple[list[str], int]:
    """Return the lines of the status, and how many daemons lag.

    Without the store the highest version among the daemons is the measure.
    """
    versions = [state.get("version", 0) for state in states]
    newest = records[0].version if records else max(versions, default=0)
    lines = [f"newest version: {newest}"]
    lines += history_lines(records)
    lagging = 0
    for state in states:
        behind = newest - state.get("version", 0)
        lagging += bool("problem" in state or behind > 0)
        lines.append(_state_line(state, behind))
    if states:
        lines.append(f"{lagging} of {len(states)} daemons lag or do not answer")
    return lines, lagging


def _state_line(state: dict[str, Any], behind: int) -> str:
    if "problem" in state:
        return f"{state['daemon']:<24} no answer: {state['problem']}"
    lag = f"lags by {behind}" if behind > 0 else "in force"
    how = "watches the store" if state["watches_store"] else "hears from peers"
    down = ", store down" if state["store_down"] else ""
    return (
        f"{state['daemon']:<24} {state['region']:<16} {state['version']:>8} "
        f"{lag:<14} {how}{down}"
    )
