"""What a daemon says of its configuration to operators."""

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from currantdyke.bundle import ConfigurationFeed, Follower
from currantdyke.bundle.feed import now_seconds

__all__ = ["configuration_routes", "configuration_state"]


def configuration_state(feed: ConfigurationFeed, follower: Follower) -> dict:
    """Return the version in force, who made it, and how this daemon hears."""
    state = {
        "daemon": follower.name,
        "region": follower.region,
        "version": feed.version,
        "watches_store": follower.is_watcher(),
        "caught_up": follower.caught_up,
        "store_down": follower.store_down,
        "heard_seconds_ago": max(-1.0, now_seconds() - feed.last_heard),
        "updates_refused": feed.refused,
    }
    record = feed.held.record
    if record is not None:
        state |= {
            "record": feed.held.record_hash,
            "change_id": record.change.change_id,
            "proposer": record.change.proposer,
            "signed_off_by": record.signed_off.operator,
            "rolled_by": record.rolled.operator if record.rolled else "",
            "rolled_at": record.rolled_at,
        }
    return state


def configuration_routes(feed: ConfigurationFeed, follower: Follower) -> list[Route]:
    """Return the routes of the operators' face on configuration."""

    async def configuration(request: Request) -> Response:
        body = msgspec.json.encode(configuration_state(feed, follower))
        return Response(body, media_type="application/json")

    return [Route("/configuration", configuration)]
