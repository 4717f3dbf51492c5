"""Checks of the gateways' guarantees against what callers and endpoints observe."""

import collections
from collections.abc import Iterable

import anyio
import attrs
import msgspec

from currantdyke.soak.callers import Attempt
from currantdyke.soak.completeness import describe_loss
from currantdyke.soak.gateways import ROTATION_SECONDS, Incarnation, SupervisedGateway

__all__ = ["GuaranteeChecker"]

# Required by the users: a new configuration is in force, and a leaving endpoint gets
# no more requests, this long after the write to the store.
MAX_CONFIGURATION_DELAY_SECONDS = 2.0
MAX_LEAVING_DELAY_SECONDS = 2.0
# The platform kills a process this long after SIGTERM; see ``grace_s`` in the settings.
GRACE_SECONDS = 8.0
STREAM_EVENTS = 5
# Statuses that ask callers to send the request again, unlike others from 300 to 499.
RETRY_STATUSES = frozenset((408, 421, 429))


@attrs.define(kw_only=True, eq=False)
class GuaranteeChecker:
    """Observations of a run, and the guarantees that they violate.

    Attributes
    ----------
    executions : Counter
        How often endpoints began to handle each attempt, which counts as a run.
    disrupted_at : float
        When a fault that may delay updates to any gateway last began or ended.
    store_disrupted_at : float
        The same for faults that affect all gateways.
    gateways_disrupted_at : dict of str to float
        The same for faults of one gateway, by its name.
    unplanned_at : dict of (str or None) to float
        When a fault that is no planned work last began or ended, by the name of the
        gateway; None for the store and the endpoints.
    sound_endpoints : bool
        Whether no endpoint fails or breaks off an answer during the run.
    leaving_since : dict of str to float
        When each leaving endpoint was announced as draining.
    violations : list of str
        Descriptions of the violations, without duplicates.
    counts : Counter
        Numbers of checked events by kind, and of injected faults.
    events : list of (float, str)
        What was injected, with its time.
    refusing : set of (str, int)
        Gateways and the numbers of their incarnations that refused a request finally
        without knowing what all configurations allow.
    """

    executions: collections.Counter[str] = attrs.field(factory=collections.Counter)
    disrupted_at: float = float("-inf")
    store_disrupted_at: float = float("-inf")
    gateways_disrupted_at: dict[str, float] = attrs.field(factory=dict)
    unplanned_at: dict[str | None, float] = attrs.field(factory=dict)
    sound_endpoints: bool = False
    leaving_since: dict[str, float] = attrs.field(factory=dict)
    violations: list[str] = attrs.field(factory=list)
    counts: collections.Counter[str] = attrs.field(factory=collections.Counter)
    events: list[tuple[float, str]] = attrs.field(factory=list)
    refusing: set[tuple[str, int]] = attrs.field(factory=set)

    def record_event(self, text: str) -> None:
        """Record what is injected now, for the record of the run."""
        self.events.append((anyio.current_time(), text))

    def record_disruption(
        self, gateway: SupervisedGateway | None = None, *, planned: bool = False
    ) -> None:
        """Record the start or end of a fault that may delay updates to the gateways.

        Parameters
        ----------
        gateway : SupervisedGateway or None
            The only gateway that is affected; None for all.
        planned : bool
            Whether it is planned work, around which no answer may be lost.
        """
        self.disrupted_at = anyio.current_time()
        if not planned:
            self.record_unplanned(gateway)
        if gateway is None:
            self.store_disrupted_at = self.disrupted_at
        else:
            self.gateways_disrupted_at[gateway.name] = self.disrupted_at

    def record_unplanned(self, gateway: SupervisedGateway | None = None) -> None:
        """Record the start or end of a fault after which answers may be lost."""
        name = None if gateway is None else gateway.name
        self.unplanned_at[name] = anyio.current_time()

    def check_arrival(
        self, instance: str, attempt_id: str, gateway: str = "a gateway"
    ) -> None:
        """Check that a request did not arrive long after an endpoint began to leave."""
        self.executions[attempt_id] += 1
        left = self.leaving_since.get(instance)
        if left is None:
            return
        now = anyio.current_time()
        late = now - max(left, self.disrupted_at)
        if late > MAX_LEAVING_DELAY_SECONDS:
            self.add_violation(
                f"{instance} got {attempt_id} from {gateway} {late:.1f} s after it left"
            )
        self.counts["work at a leaving endpoint"] += 1

    def check_attempt(self, attempt: Attempt) -> None:
        """Check the answer of an attempt, or the lack of one."""
        answer = attempt.answer
        allowed = attempt.sent_at - attempt.allowed_since
        if attempt.kind == "added" and allowed > MAX_CONFIGURATION_DELAY_SECONDS:
            self.counts["added in time"] += 1
        self._check_loss(attempt)
        if answer is None:
            self.counts["lost"] += 1
            self._check_lost_connection(attempt)
            return
        self.counts[f"{attempt.kind} {answer.status}"] += 1
        if answer.status == 200:
            self._check_answer(attempt)
        elif answer.status in (429, 503):
            self.counts["said not to have run"] += 1
            if not answer.has_retry_after:
                self.add_violation(
                    f"{attempt.attempt_id} ({attempt.kind}) at {attempt.gateway.name}: "
                    f"a refusal without Retry-After: {answer.body[:200]!r}"
                )
            self.check_executions(attempt)
        elif not answer.signed and 300 <= answer.status < 500:
            self._check_final_refusal(attempt, answer.status)

    def check_executions(self, attempt: Attempt) -> None:
        """Check how often a request ran; repeated at the end, for late arrivals."""
        runs = self.executions[attempt.attempt_id]
        if attempt.kind == "once" and runs > 1:
            self.add_violation(f"{attempt.attempt_id} ran {runs} times")
        refused = attempt.answer is not None and attempt.answer.status in (429, 503)
        if refused and runs:
            self.add_violation(
                f"{attempt.attempt_id} was said not to have run, and ran"
            )

    def check_exit(
        self, gateway: SupervisedGateway, incarnation: Incarnation, code: int
    ) -> None:
        """Check the exit of a gateway that was neither paused nor killed."""
        if incarnation.interrupted:
            return
        if incarnation.sigterm_at is None:
            self.add_violation(f"{gateway.name} ended by itself with {code}")
            return
        self.counts["stops"] += 1
        seconds = anyio.current_time() - incarnation.sigterm_at
        if code != 0:
            self.add_violation(f"{gateway.name} ended with {code} after SIGTERM")
        if seconds > GRACE_SECONDS:
            self.add_violation(f"{gateway.name} took {seconds:.1f} s to stop")

    def check_log(self, gateway: str, lines: Iterable[str]) -> None:
        """Check that the log of a gateway reports no internal error."""
        for line in lines:
            # A process that is killed may leave a part of a line.
            if '"event":"internal_error"' in line and line.endswith("}\n"):
                fields = msgspec.json.decode(line)
                self.add_violation(
                    f"{gateway}: {fields['where']} failed: {fields['reason']:.200}"
                )

    async def check_configuration(
        self, gateway: SupervisedGateway, required_version: int
    ) -> None:
        """Check the configuration version that a gateway reports.

        Parameters
        ----------
        required_version : int
            The version that must be in force; 0 if none is required yet.
        """
        incarnation = gateway.incarnation
        version = await gateway.configuration_version()
        if not version or gateway.incarnation is not incarnation:
            return
        self.counts["versions"] += 1
        self.counts["versions that were required"] += bool(required_version)
        if version < incarnation.max_version:
            self.add_violation(
                f"{gateway.name} went back from {incarnation.max_version} to {version}"
            )
        incarnation.max_version = max(incarnation.max_version, version)
        if required_version and version < required_version:
            self.add_violation(
                f"{gateway.name} has version {version}, not {required_version}"
            )

    def is_undisrupted(self, gateway: SupervisedGateway, seconds: float) -> bool:
        """Whether the last disruption of a gateway is more than ``seconds`` ago."""
        never = float("-inf")
        disrupted_at = max(
            self.store_disrupted_at,
            self.gateways_disrupted_at.get(gateway.name, never),
        )
        return anyio.current_time() - disrupted_at > seconds

    def _check_answer(self, attempt: Attempt) -> None:
        answer = attempt.answer
        assert answer is not None
        if not answer.signed:
            self.add_violation(
                f"{attempt.attempt_id}: 200 without an endpoint's signature"
            )
        expected = b"POST " + attempt.target.encode() + b" " + attempt.body
        if attempt.streams:
            numbers = range(1, STREAM_EVENTS + 1)
            expected = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in numbers)
        matches = answer.body == expected
        if answer.complete and not matches:
            self.add_violation(f"{attempt.attempt_id} got another answer than its own")
        elif not answer.complete and not expected.startswith(answer.body):
            self.add_violation(f"{attempt.attempt_id} got bytes that are not its own")
        if answer.complete and answer.attempt_id != attempt.attempt_id:
            self.add_violation(f"{attempt.attempt_id} got another attempt's id")

    def _check_final_refusal(self, attempt: Attempt, status: int) -> None:
        """Check that a request that callers do not resend was refused rightly.

        No disruption is an excuse: a gateway knows when it asked for the state by which
        it refuses, and asks callers to retry if that is too long ago.
        """
        if status in RETRY_STATUSES:
            return
        allowed = attempt.sent_at - attempt.allowed_since
        if allowed <= MAX_CONFIGURATION_DELAY_SECONDS:
            return
        self.add_final_refusal(
            attempt.gateway,
            attempt.incarnation,
            f"{attempt.attempt_id} at {attempt.gateway.name} got {status} for "
            f"{attempt.target}, allowed for {allowed:.1f} s",
        )

    def add_final_refusal(
        self, gateway: SupervisedGateway, incarnation: Incarnation, text: str
    ) -> None:
        """Record a wrong final refusal, the first of a process as a violation."""
        self.counts["final refusals"] += 1
        process = gateway.name, incarnation.number
        if process not in self.refusing:
            self.refusing.add(process)
            self.add_violation(text)

    def _check_loss(self, attempt: Attempt) -> None:
        never = float("-inf")
        places = (None, attempt.gateway.name)
        loss = describe_loss(
            attempt,
            passed_on=self.executions[attempt.attempt_id] > 0,
            unplanned_at=max(self.unplanned_at.get(place, never) for place in places),
            sound_endpoints=self.sound_endpoints,
        )
        if loss:
            self.add_violation(loss)

    def _check_lost_connection(self, attempt: Attempt) -> None:
        """Check that a graceful stop did not cause a connection to be lost."""
        incarnation = attempt.incarnation
        if incarnation.sigterm_at is None or incarnation.interrupted:
            return
        if attempt.sent_at < incarnation.sigterm_at + ROTATION_SECONDS:
            self.add_violation(
                f"{attempt.attempt_id} at {attempt.gateway.name}, which was told to "
                f"stop, got no answer ({attempt.error})"
            )

    def add_violation(self, text: str) -> None:
        """Record a violation."""
        if text not in self.violations:
            self.violations.append(text)
