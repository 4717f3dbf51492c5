"""Builders of attempts and of the gateways that they went to."""

import attrs

from currantdyke.emulator import CallerAnswer
from currantdyke.soak.callers import Attempt

__all__ = ["FakeGateway", "FakeIncarnation", "build_answer", "build_attempt"]


@attrs.define(kw_only=True)
class FakeIncarnation:
    number: int = 1
    sigterm_at: float | None = None
    interrupted: bool = False
    max_version: int = 0


@attrs.define(kw_only=True)
class FakeGateway:
    name: str = "gateway-1"
    reported_version: int = 1
    incarnation: FakeIncarnation = attrs.field(factory=FakeIncarnation)

    async def configuration_version(self):
        return self.reported_version


def build_attempt(kind="once", answer=None, incarnation=None, **changes):
    return Attempt(
        attempt_id="s1",
        kind=kind,
        target="/x",
        body=b"body",
        gateway=FakeGateway(),
        incarnation=incarnation or FakeIncarnation(),
        sent_at=1.0,
        answer=answer,
        error="" if answer else "reset",
        **changes,
    )


def build_answer(status=200, body=b"POST /x body", complete=True, **headers):
    signed = {"x-server-signature": "signed.i", "x-attempt-id": "s1"}
    return CallerAnswer(
        status=status, headers=signed | headers, body=body, complete=complete
    )
