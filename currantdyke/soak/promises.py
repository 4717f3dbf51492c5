"""The promises, judged while the soak runs from what callers and endpoints see."""

import collections

import anyio
import attrs

from currantdyke.soak.callers import Attempt
from currantdyke.soak.gateways import ROTATION_SECONDS, GatewayProcess, Life

__all__ = ["Promises"]

# The users' bounds: a configuration is in force, and a leaving endpoint gets no more
# work, this long after the store has it, in seconds.
IN_FORCE_SECONDS = 2.0
LEAVING_SECONDS = 2.0
# The platform kills a process this long after SIGTERM, as its settings say.
GRACE_SECONDS = 8.0
STREAM_EVENTS = 5


@attrs.define(kw_only=True, eq=False)
class Promises:
    """What was promised and what was seen.

    Attributes
    ----------
    runs : Counter
        How often endpoints began to run each attempt.
    disturbed_at : float
        When a fault last began or ended that excuses late knowledge.
    broken : list of str
        The promises that did not hold, in words.
    counts : Counter
        What was judged, by promise.
    """

    runs: collections.Counter[str] = attrs.field(factory=collections.Counter)
    disturbed_at: float = float("-inf")
    leaving: dict[str, float] = attrs.field(factory=dict)
    broken: list[str] = attrs.field(factory=list)
    counts: collections.Counter[str] = attrs.field(factory=collections.Counter)

    def disturb(self) -> None:
        """Note a fault that may keep gateways from knowing of changes."""
        self.disturbed_at = anyio.current_time()

    def arrived(self, instance: str, attempt_id: str) -> None:
        """Judge that an endpoint got a request."""
        self.runs[attempt_id] += 1
        left = self.leaving.get(instance)
        if left is None:
            return
        now = anyio.current_time()
        late = now - max(left, self.disturbed_at)
        if late > LEAVING_SECONDS:
            self._broken(f"{instance} got {attempt_id} {late:.1f} s after it left")
        self.counts["work at a leaving endpoint"] += 1

    def judge(self, attempt: Attempt) -> None:
        """Judge what a caller got."""
        answer = attempt.answer
        if answer is None:
            self.counts["lost"] += 1
            self._judge_loss(attempt)
            return
        self.counts[f"{attempt.kind} {answer.status}"] += 1
        if answer.status == 200:
            self._judge_answer(attempt)
        elif answer.status in (429, 503):
            self.counts["said not to have run"] += 1
            if not answer.says_when_to_retry:
                self._broken(f"{attempt.attempt_id}: a refusal without Retry-After")
            self.judge_runs(attempt)

    def judge_runs(self, attempt: Attempt) -> None:
        """Judge how often a request ran; again at the end, as bytes may be late."""
        runs = self.runs[attempt.attempt_id]
        if attempt.kind == "once" and runs > 1:
            self._broken(f"{attempt.attempt_id} ran {runs} times")
        told = attempt.answer is not None and attempt.answer.status in (429, 503)
        if told and runs:
            self._broken(f"{attempt.attempt_id} was said not to have run, and ran")

    def judge_end(self, gateway: GatewayProcess, life: Life, code: int) -> None:
        """Judge how a gateway ended, unless it was killed."""
        if life.disturbed:
            return
        if life.told_to_stop is None:
            self._broken(f"{gateway.name} ended by itself with {code}")
            return
        self.counts["stops"] += 1
        seconds = anyio.current_time() - life.told_to_stop
        if code != 0:
            self._broken(f"{gateway.name} ended with {code} after SIGTERM")
        if seconds > GRACE_SECONDS:
            self._broken(f"{gateway.name} took {seconds:.1f} s to stop")

    async def judge_version(self, gateway: GatewayProcess, newest: int) -> None:
        """Judge the configuration that a gateway shows."""
        life = gateway.life
        version = await gateway.configuration_version()
        if not version or gateway.life is not life:
            return
        self.counts["versions"] += 1
        if version < life.version:
            self._broken(f"{gateway.name} went back from {life.version} to {version}")
        life.version = max(life.version, version)
        if newest and version < newest:
            self._broken(f"{gateway.name} has version {version}, not {newest}")

    def is_calm(self, seconds: float) -> bool:
        """Whether nothing has disturbed the gateways' knowledge for so long."""
        return anyio.current_time() - self.disturbed_at > seconds

    def _judge_answer(self, attempt: Attempt) -> None:
        answer = attempt.answer
        assert answer is not None
        if not answer.signed:
            self._broken(f"{attempt.attempt_id}: 200 without an endpoint's signature")
        expected = b"POST " + attempt.target.encode() + b" " + attempt.body
        if attempt.kind == "stream":
            numbers = range(1, STREAM_EVENTS + 1)
            expected = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in numbers)
        whole = answer.body == expected
        if answer.whole and not whole:
            self._broken(f"{attempt.attempt_id} got another answer than its own")
        elif not answer.whole and not expected.startswith(answer.body):
            self._broken(f"{attempt.attempt_id} got bytes that are not its own")
        if answer.whole and answer.attempt_id != attempt.attempt_id:
            self._broken(f"{attempt.attempt_id} got another attempt's id")

    def _judge_loss(self, attempt: Attempt) -> None:
        """Judge a connection lost before its answer, which a stop must not cause."""
        life = attempt.life
        if life.told_to_stop is None or life.disturbed:
            return
        if attempt.sent_at < life.told_to_stop + ROTATION_SECONDS:
            self._broken(
                f"{attempt.attempt_id} at {attempt.gateway.name}, which was told to "
                f"stop, got no answer ({attempt.lost})"
            )

    def _broken(self, text: str) -> None:
        if text not in self.broken:
            self.broken.append(text)
