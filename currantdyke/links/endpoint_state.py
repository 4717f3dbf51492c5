"""Encode and decode the messages about the states and slots of endpoints."""

from typing import Any

from currantdyke.endpointslots.messages import (
    ServiceFragile,
    SlotGrant,
    SlotRelease,
    SlotRequest,
)
from currantdyke.endpointstates.messages import EndpointLeaving, EndpointPaused
from currantdyke.links.fleet_state import milliseconds

__all__ = ["EndpointState", "decode_endpoint_state", "encode_endpoint_state"]

EndpointState = (
    EndpointLeaving
    | EndpointPaused
    | ServiceFragile
    | SlotRequest
    | SlotGrant
    | SlotRelease
)


def encode_endpoint_state(builder: Any, content: EndpointState) -> None:
    """Encode a message into the builder of its frame."""
    match content:
        case EndpointLeaving():
            leaving = builder.init("endpointLeaving")
            leaving.instance = content.instance
            leaving.born = content.born
        case EndpointPaused():
            paused = builder.init("endpointPaused")
            paused.instance = content.instance
            paused.born = content.born
            paused.milliseconds = milliseconds(content.seconds)
        case ServiceFragile():
            builder.serviceFragile = content.service
        case SlotRequest():
            request = builder.init("slotRequest")
            request.instance = content.instance
            request.service = content.service
            request.born = content.born
            request.milliseconds = milliseconds(content.seconds)
        case SlotGrant():
            grant = builder.init("slotGrant")
            grant.lease = content.lease
            # A wait of less than a millisecond is no grant.
            grant.waitMilliseconds = milliseconds(content.wait + 0.000_999)
        case SlotRelease():
            release = builder.init("slotRelease")
            release.instance = content.instance
            release.lease = content.lease
            release.rejected = content.rejected


def decode_endpoint_state(reader: Any) -> EndpointState:
    """Decode a message from the reader of its frame."""
    match str(reader.which()):
        case "endpointLeaving":
            leaving = reader.endpointLeaving
            return EndpointLeaving(instance=leaving.instance, born=leaving.born)
        case "endpointPaused":
            paused = reader.endpointPaused
            return EndpointPaused(
                instance=paused.instance,
                born=paused.born,
                seconds=paused.milliseconds / 1_000,
            )
        case "serviceFragile":
            return ServiceFragile(service=reader.serviceFragile)
        case "slotRequest":
            request = reader.slotRequest
            return SlotRequest(
                instance=request.instance,
                service=request.service,
                born=request.born,
                seconds=request.milliseconds / 1_000,
            )
        case "slotGrant":
            grant = reader.slotGrant
            return SlotGrant(lease=grant.lease, wait=grant.waitMilliseconds / 1_000)
        case _:
            release = reader.slotRelease
            return SlotRelease(
                instance=release.instance,
                lease=release.lease,
                rejected=release.rejected,
            )
