"""What a daemon says of the other daemons to operators."""

from collections.abc import Callable

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from currantdyke.membership import Membership
from currantdyke.peers import Member

__all__ = ["members_routes"]


def members_routes(membership: Callable[[], Membership | None]) -> list[Route]:
    """Return the routes of the operators' face on members."""

    async def members(request: Request) -> Response:
        found = membership()
        body = _state(found) if found else {"members": [], "alone": True}
        return Response(msgspec.json.encode(body), media_type="application/json")

    return [Route("/members", members)]


def _state(membership: Membership) -> dict:
    records = membership.table.all_records()
    return {
        "daemon": membership.me.name,
        "alone": False,
        "members": [_shown(member) for member in records],
        "facts": len(membership.facts.held),
        "suspicions": len(membership.prober.suspicions),
        "pauses": membership.prober.pauses,
        "updates_pulled": membership.puller.pulled,
        "pulls_failed": membership.puller.failed,
    }


def _shown(member: Member) -> dict:
    return {
        "name": member.name,
        "status": member.status.value,
        "incarnation": member.incarnation,
        "address": member.address,
        "availability_zone": member.availability_zone,
        "region": member.region,
        "url": member.url,
    }
