"""The steps of a request at which a fault is brought in."""

import attrs

from currantdyke.events import Event

__all__ = ["STEPS", "Step"]


@attrs.frozen(kw_only=True)
class Step:
    """A step, recognised by an event of the time line or by its caller.

    Attributes
    ----------
    duty, event, stage : str
        The event that marks it; empty where the caller marks it.
    caller_step : str
        The caller's mark: ``submit``, ``first_token``, ``mid_stream``,
        ``answered`` or ``rejoin``.
    service : str
        The service whose endpoints a fault of an endpoint strikes.
    """

    duty: str = ""
    event: str = ""
    stage: str = ""
    caller_step: str = ""
    service: str = "generator"

    def matches(self, event: Event) -> bool:
        """Return whether an event of the time line marks this step."""
        return (
            bool(self.event)
            and event.duty == self.duty
            and event.name == self.event
            and event.stage == self.stage
        )


STEPS = {
    "submit": Step(caller_step="submit", service="encoder"),
    "accept": Step(duty="requests", event="accepted", service="encoder"),
    "dispatch encode": Step(
        duty="stages", event="dispatched", stage="encode", service="encoder"
    ),
    "settle encode": Step(
        duty="stages", event="done", stage="encode", service="retriever"
    ),
    "join rerank": Step(
        duty="stages", event="dispatched", stage="rerank", service="reranker"
    ),
    "dispatch generate": Step(duty="stages", event="dispatched", stage="generate"),
    "dispatch charge": Step(
        duty="stages", event="dispatched", stage="call", service="entry-desk"
    ),
    "first token": Step(caller_step="first_token"),
    "mid stream": Step(caller_step="mid_stream"),
    "settle": Step(duty="requests", event="settled"),
    "answer": Step(caller_step="answered"),
    "rejoin": Step(caller_step="rejoin"),
}
