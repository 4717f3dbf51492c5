"""The steps of a request at which a fault can be injected."""

import attrs

from currantdyke.events import Event

__all__ = ["STEPS", "Step"]


@attrs.frozen(kw_only=True)
class Step:
    """A step, identified by a timeline event or reported by the caller.

    Attributes
    ----------
    duty, event, stage : str
        Timeline event that identifies the step; empty if the caller reports it.
    caller_step : str
        Name that the caller reports: ``submit``, ``first_token``, ``mid_stream``,
        ``answered`` or ``rejoin``.
    service : str
        Service whose first endpoint is affected if the event names no endpoint.
    """

    duty: str = ""
    event: str = ""
    stage: str = ""
    caller_step: str = ""
    service: str = "generator"

    def matches(self, event: Event) -> bool:
        """Return whether a timeline event identifies this step."""
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
