"""Collect the events of one request, or all events, from several daemons."""

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
    """Merged events of several daemons, and the daemons that did not answer.

    Attributes
    ----------
    events : list of Event
        Ordered by hybrid time, then by daemon.
    errors : dict
        Error by URL, for each daemon whose events could not be read.
    """

    events: list[Event] = attrs.field(factory=list)
    errors: dict[str, str] = attrs.field(factory=dict)


async def gather_timeline(
    client: httpx.AsyncClient, urls: Iterable[str], *, request_id: str = ""
) -> GatheredTimeline:
    """Fetch the events of each daemon from its operators' API, and merge them.

    Parameters
    ----------
    client : httpx.AsyncClient
        Client for the requests to the daemons.
    urls : iterable of str
        Base URLs of the operators' APIs.
    request_id : str
        Request whose events to fetch; empty for all events.
    """
    gathered = GatheredTimeline()
    async with anyio.create_task_group() as tasks:
        for url in urls:
            tasks.start_soon(
                functools.partial(_fetch_events, client, url, request_id, gathered)
            )
    gathered.events.sort(key=lambda event: (event.time, event.daemon))
    return gathered


async def _fetch_events(
    client: httpx.AsyncClient, url: str, request_id: str, gathered: GatheredTimeline
) -> None:
    parameters = {"request": request_id} if request_id else {}
    try:
        response = await client.get(
            f"{url}/timeline", params=parameters, timeout=CALL_TIMEOUT_SECONDS
        )
        response.raise_for_status()
        events = msgspec.json.decode(response.content, type=list[Event])
    except (httpx.HTTPError, msgspec.MsgspecError) as error:
        gathered.errors[url] = f"{error!r:.200}"
        return
    gathered.events.extend(events)
