"""The guarantee that a request which was read whole gets a whole answer."""

from currantdyke.soak.callers import Attempt

__all__ = ["CONTACT_SECONDS", "describe_loss"]

# Bounds of the users: after a disruption, a gateway has no obligations for this time
CONTACT_SECONDS = 3.0
# and a connection may close this long after a request that it has not read.
LOSS_SLACK_SECONDS = 0.2
# The platform kills a process this long after SIGTERM.
GRACE_SECONDS = 8.0
# A request that was sent until then and is still run in the last part of the grace
# period need not be finished.
LAST_SEND_SECONDS = 3.0
LAST_SHARE = 1 / 6
# A gateway ends a request this long before its time limit, to answer in time.
TIME_LIMIT_MARGIN_SECONDS = 0.1
# Statuses of gateways' own failures that do not state that a request has not run.
FAILURE_STATUSES = (500, 502, 504)


def describe_loss(
    attempt: Attempt, *, passed_on: bool, unplanned_at: float, sound_endpoints: bool
) -> str:
    """Describe the loss of an answer that nothing excuses; empty if there is none.

    Parameters
    ----------
    passed_on : bool
        Whether the request has reached an endpoint.
    unplanned_at : float
        When a fault of the gateway, the store or the endpoints last began or ended.
    sound_endpoints : bool
        Whether no endpoint fails or breaks off an answer.
    """
    excused = (
        unplanned_at > attempt.sent_at - CONTACT_SECONDS
        or attempt.incarnation.interrupted
        or _reached_time_limit(attempt)
        or _reached_end_of_grace(attempt)
    )
    if excused:
        return ""
    seconds = attempt.ended_at - attempt.sent_at
    where = f"{attempt.attempt_id} ({attempt.kind}) at {attempt.gateway.name}"
    if not attempt.answered:
        unread = attempt.ended_at - attempt.sent_whole_at <= LOSS_SLACK_SECONDS
        if not passed_on and (unread or attempt.sent_whole_at == float("inf")):
            return ""
        return f"{where} got no whole answer within {seconds:.1f} s ({attempt.error})"
    assert attempt.answer is not None
    failed = attempt.answer.status in FAILURE_STATUSES and not attempt.answer.signed
    if failed and sound_endpoints:
        status = attempt.answer.status
        return f"{where} got {status} after {seconds:.1f} s from sound endpoints"
    return ""


def _reached_time_limit(attempt: Attempt) -> bool:
    seconds = attempt.ended_at - attempt.sent_at
    return seconds > attempt.time_limit - TIME_LIMIT_MARGIN_SECONDS


def _reached_end_of_grace(attempt: Attempt) -> bool:
    sigterm_at = attempt.incarnation.sigterm_at
    if sigterm_at is None or attempt.sent_at > sigterm_at + LAST_SEND_SECONDS:
        return False
    return attempt.ended_at > sigterm_at + GRACE_SECONDS * (1 - LAST_SHARE)
