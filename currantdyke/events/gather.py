"""Gather the time line of a request from the daemons that hold parts of it."""

import functools
from collections.abc import Iterable

import anyio
import attrs
import httpx
import msgspec

from currantdyke.events.timeline import Event

__all__ = ["GatheredTimeline", "gather_timeline"]

CALL_TIMEOUT_SECONDS = 3.0


@attrs.define(kw_only=True)
class GatheredTimeline:
    """Events of several daemons in one order, and who did not answer.

    Attributes
    ----------
    events : list of Event
        Ordered by hybrid time, then by daemon.
    missing : dict
        What went wrong, by the URL of each daemon that gave nothing.
    """

    events: list[Event] = attrs.field(factory=list)
    missing: dict[str, str] = attrs.field(factory=dict)


async def gather_timeline(
    client: httpx.AsyncClient, urls: Iterable[str], *, request_id: str = ""
) -> GatheredTimeline:
    """Ask each daemon's operators' face for its events.

    Parameters
    ----------
    client : httpx.AsyncClient
        The client to ask with.
    urls : iterable of str
        Base URLs of the operators' faces.
    request_id : str
        Only the events of this request; all events where empty.
    """
    gathered = GatheredTimeline()
    async with anyio.create_task_group() as tasks:
        for url in urls:
            tasks.start_soon(functools.partial(_ask, client, url, request_id, gathered))
    gathered.events.sort(key=lambda event: (event.time, event.daemon))
    return gathered


async def _ask(
    client: httpx.AsyncClient, url: str, request_id: str, gathered: GatheredTimeline
) -> None:
    parameters = {"request": request_id} if request_id else {}
    try:
        response = await client.get(
            f"{url}/timeline", params=parameters, timeout=CALL_TIMEOUT_SECONDS
        )
        response.raise_for_status()
        found = msgspec.json.decode(response.content, type=list[Event])
    except (httpx.HTTPError, msgspec.MsgspecError) as error:
        gathered.missing[url] = f"{error!r:.200}"
        return
    gathered.events.extend(found)
