import httpx_sse
import msgspec

NOTES_PATH = "/v1/pipelines/notes"
ACCEPT_EVENT_STREAM = {"accept": "text/event-stream"}


async def submit(fleet, path=NOTES_PATH, daemon="entry-1", **headers):
    async with fleet.caller(daemon) as client:
        return await client.post(path, json={"input": "flight 12"}, headers=headers)


async def submit_async(fleet, daemon="entry-1"):
    response = await submit(fleet, daemon=daemon, prefer="respond-async")
    return response.json()["request_id"]


async def read_events(
    client, method, path, *, max_events=None, headers=None, **options
):
    events = []
    async with httpx_sse.aconnect_sse(
        client, method, path, headers=headers or {}, **options
    ) as source:
        async for event in source.aiter_sse():
            number = int(event.id) if event.id else None
            events.append((number, event.event, msgspec.json.decode(event.data)))
            if max_events is not None and len(events) >= max_events:
                break
    return events


async def rejoin(fleet, request_id, *, daemon="entry-1", first="", **options):
    path = f"/v1/requests/{request_id}" + (f"?from={first}" if first != "" else "")
    async with fleet.caller(daemon) as client:
        return await read_events(client, "GET", path, **options)


def token_texts(events):
    return [data["text"] for _, name, data in events if name == "token"]
