"""Checks of the delivery guarantees, from what callers and endpoints received."""

from collections import Counter
from collections.abc import Iterator

from currantdyke.matrix.callers import CallerLog
from currantdyke.testing import FleetInMemory

__all__ = ["guarantee_violations"]

EXPECTED_TOKENS = 16


def guarantee_violations(
    fleet: FleetInMemory, summary: CallerLog, charges: dict[str, list[CallerLog]]
) -> list[str]:
    """Return a description of every guarantee that a run violated.

    Parameters
    ----------
    summary : CallerLog
        Responses to the caller of the streamed pipeline.
    charges : dict
        Maps each idempotency key to the logs of the callers that sent it.
    """
    violations = list(_summary_violations(summary))
    for key, logs in charges.items():
        violations.extend(_charge_violations(fleet, key, logs))
    for log in [summary, *(log for logs in charges.values() for log in logs)]:
        violations.extend(_false_not_run_reports(fleet, log))
    return violations


def _summary_violations(log: CallerLog) -> Iterator[str]:
    if not log.ended:
        yield "a caller was left without an answer"
    if not log.request_ids:
        return
    request_id = log.request_ids[0]
    expected = [f"{request_id}:{index} " for index in range(len(log.token_texts))]
    if log.token_texts != expected:
        yield f"the stream is not the request's own in order: {log.token_texts}"
    for answer in log.answers:
        if answer["request_id"] != request_id:
            yield f"an answer of {answer['request_id']} came to {request_id}"
        if (
            answer["output"]["text"] != "".join(log.token_texts)
            or len(log.token_texts) != EXPECTED_TOKENS
        ):
            yield (
                f"the answer is not whole: {len(log.token_texts)} "
                f"of {EXPECTED_TOKENS} tokens"
            )


def _charge_violations(
    fleet: FleetInMemory, key: str, logs: list[CallerLog]
) -> Iterator[str]:
    runs = _runs_of_charge(fleet, key)
    if runs > 1:
        yield f"charge {key} ran {runs} times"
    for log in logs:
        if not log.ended:
            yield f"the caller of charge {key} was left without an answer"
        if log.answers and runs == 0:
            yield f"charge {key} was answered and never ran"


def _runs_of_charge(fleet: FleetInMemory, key: str) -> int:
    return sum(
        call.body.get("input") == {"charge": key}
        for standin in fleet.standins.values()
        for call in standin.calls
    )


def _false_not_run_reports(fleet: FleetInMemory, log: CallerLog) -> Iterator[str]:
    seen = Counter(
        call.request_id for standin in fleet.standins.values() for call in standin.calls
    )
    for error in log.errors:
        request_id = error.get("request_id", "")
        if error["error"]["outcome"] == "not_run" and seen[request_id]:
            yield f"{request_id} was told as not run and ran {seen[request_id]} calls"
