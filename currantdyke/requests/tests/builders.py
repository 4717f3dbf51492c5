import attrs

PATH = "/v1/services/entry-desk"
NON_IDEMPOTENT = {"services": {"entry-desk": {"idempotent": False}}}


@attrs.define(kw_only=True)
class CallResult:
    """Result of one request, as reported to its caller."""

    request_id: str
    code: str
    outcome: str
    retry_after: float | None
    output: object


async def submit(fleet, key="fee-1", body=None, deadline=6.0):
    """Send a non-idempotent call with a key; return its result."""
    headers = {"idempotency-key": key, "x-deadline-seconds": str(deadline)}
    async with fleet.caller("entry-1") as client:
        response = await client.post(PATH, json={"input": body or key}, headers=headers)
    answer = response.json()
    error = answer.get("error") or {}
    return CallResult(
        request_id=answer["request_id"],
        code=error.get("code", "ok"),
        outcome=error.get("outcome") or answer["outcome"],
        retry_after=error.get("retry_after"),
        output=answer.get("output"),
    )


def received_calls(fleet):
    """Return input and request id of each call that an endpoint received."""
    return [
        (call.body["input"], call.request_id)
        for name in ("entry-desk-1", "entry-desk-2")
        for call in fleet.standins[name].calls
    ]
