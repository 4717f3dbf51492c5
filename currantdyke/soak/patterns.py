"""Patterns of runs: their endpoints, their faults and what their callers send."""

import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import attrs

from currantdyke.emulator import (
    AnswerPlan,
    EngineEmulator,
    Framing,
    PlainEmulator,
    StageEmulator,
)
from currantdyke.emulator.answers import plan_sound
from currantdyke.emulator.http import Request
from currantdyke.soak.callers import (
    ChooseRequest,
    choose_plain,
    choose_request,
    choose_stream,
    send_requests,
)
from currantdyke.soak.cold import change_temperatures, cold_violations
from currantdyke.soak.configurations import grow_configuration
from currantdyke.soak.cuts import cut_gateways_off, cut_violations
from currantdyke.soak.effects import effect_violations, judge_effects
from currantdyke.soak.evacuations import (
    ZONES,
    evacuate_zones,
    evacuation_violations,
)
from currantdyke.soak.faults import FAULTS, GATEWAY_FAULTS
from currantdyke.soak.fragile import (
    change_fragility,
    fragile_violations,
    start_fragile,
    start_fragile_engines,
)
from currantdyke.soak.limits import change_limits, limit_violations
from currantdyke.soak.operators import hold_versions, operate, operate_quickly
from currantdyke.soak.peers import ISOLATIONS, LASTING_ISOLATION
from currantdyke.soak.planned_work import LOWEST_TIMEOUT_SECONDS, PLANNED_WORK
from currantdyke.soak.prompts import (
    choose_prompt,
    crash_violations,
    start_engines,
)
from currantdyke.soak.removals import (
    disturb_store,
    keep_entries,
    removal_violations,
    remove_endpoints,
    start_removable,
)
from currantdyke.soak.second_version import (
    FAULTS_OF_OTHERS,
    hold_streams,
    lose_first_gateway,
    lost_stream_violations,
    start_first_version,
)
from currantdyke.soak.states import change_states, state_violations
from currantdyke.soak.versions import (
    change_versions,
    resume_streams,
    start_versions,
    version_violations,
)

__all__ = ["PATTERNS", "Pattern"]

PlanAnswer = Callable[[Request], AnswerPlan]
Activity = Callable[[Any, random.Random], Coroutine[Any, Any, None]]

# Shares of the requests before whose answer, or within it, an endpoint is silent.
SILENT_SHARES = (0.0, 0.2, 0.8)
# Callers abandon a stream after two seconds without an event.
MIN_SILENCE_SECONDS, MAX_SILENCE_SECONDS = 0.5, 1.8
UNDELIMITED_SHARE = 0.3
# Callers that resume streams elsewhere, and those that hold them at one gateway.
STREAM_CALLERS = 10
HOLDING_CALLERS = 48
# Half of 10 Mbit/s, and what may be left of it.
SLOW_BYTES_PER_SECOND = 625_000.0
BUSY_BYTES_PER_SECOND = 60_000.0
# Longer than a stream that is held, with the gap after which it is resumed.
STREAM_DEADLINE_SECONDS = 10.0
# Longer than any time-out of the routes.
SILENT_DEADLINE_SECONDS = 10.0


async def _start_none(world) -> None:
    """Start no further endpoints."""


def _always_sound(rng: random.Random) -> PlanAnswer:
    return plan_sound


def _silent_at_times(rng: random.Random) -> PlanAnswer:
    """Return the plans of an endpoint that is silent for a share of its requests."""
    share = rng.choice(SILENT_SHARES)

    def plan(request: Request) -> AnswerPlan:
        framing = Framing.CONNECTION if rng.random() < UNDELIMITED_SHARE else None
        if rng.random() >= share:
            return AnswerPlan(framing=framing)
        seconds = rng.uniform(MIN_SILENCE_SECONDS, MAX_SILENCE_SECONDS)
        if rng.random() < 0.5:
            return AnswerPlan(framing=framing, silent_before=seconds)
        after = rng.randint(1, 4)
        return AnswerPlan(framing=framing, silent_after=after, silent_seconds=seconds)

    return plan


@attrs.frozen(kw_only=True)
class Pattern:
    """What a run injects, and what its callers send.

    Attributes
    ----------
    endpoints : tuple of (type, str, int)
        Class, service and number of the endpoints.
    zones : tuple of str
        Availability zones of the endpoints, by turns.
    start_endpoints : callable
        Starts further endpoints.
    faults : dict of str to callable
        Injected in series that overlap.
    plan_answers : callable
        Returns how an endpoint writes its answers.
    activities : tuple of callable
        Run beside the callers and the faults.
    think_seconds : float
        Longest time between an answer and the caller's next request. By default, short
        enough for another request on each connection of a stopping gateway.
    fault_series : int
        Number of series of faults at least.
    route_stages : bool
        Whether streams have a stage.
    find_violations : callable
        Returns the violations that only the whole run shows.
    sound_endpoints : bool
        Whether no endpoint fails or breaks off an answer.
    slow_bytes_per_second : float
        Bandwidth of the gateways behind slow links.
    transfers_excuse : bool
        Whether a version may come into force later behind a slow link by the time that
        the link takes for all versions as the store sends them.
    deadline_seconds, timeout_seconds : float
        Deadline of the callers, and the lowest time-out of the routes.
    """

    endpoints: tuple[tuple[type, str, int], ...] = ()
    zones: tuple[str, ...] = ("zone-a",)
    start_endpoints: Callable[[Any], Awaitable[None]] = _start_none
    faults: dict[str, Callable[..., Awaitable[None]]]
    plan_answers: Callable[[random.Random], PlanAnswer] = _always_sound
    choose_request: ChooseRequest = choose_request
    activities: tuple[Activity, ...] = (grow_configuration,)
    think_seconds: float = 0.15
    fault_series: int = 5
    route_stages: bool = True
    find_violations: Callable[[Any], list[str]] = lambda world: []
    sound_endpoints: bool = False
    slow_bytes_per_second: float = SLOW_BYTES_PER_SECOND
    transfers_excuse: bool = True
    deadline_seconds: float = 3.0
    timeout_seconds: float = 2.0


ENDPOINTS = (
    (PlainEmulator, "plain", 3),
    (EngineEmulator, "engine", 3),
    (StageEmulator, "rank", 2),
)


def _judge_configurations(
    write_versions: Activity,
    *,
    faults: dict[str, Callable[..., Awaitable[None]]],
    fault_series: int = 1,
) -> Pattern:
    """Return a pattern whose configurations are judged by their effects."""
    return Pattern(
        endpoints=(*ENDPOINTS, (PlainEmulator, "other", 2)),
        faults=faults,
        activities=(write_versions, judge_effects),
        think_seconds=0.5,
        fault_series=fault_series,
        find_violations=effect_violations,
        transfers_excuse=False,
    )


PATTERNS = {
    "faults": Pattern(endpoints=ENDPOINTS, faults=FAULTS),
    "silent": Pattern(
        endpoints=(*ENDPOINTS, (PlainEmulator, "other", 2)),
        faults=PLANNED_WORK,
        plan_answers=_silent_at_times,
        sound_endpoints=True,
        deadline_seconds=SILENT_DEADLINE_SECONDS,
        timeout_seconds=LOWEST_TIMEOUT_SECONDS,
    ),
    "limits": Pattern(
        endpoints=ENDPOINTS,
        faults=GATEWAY_FAULTS,
        activities=(grow_configuration, change_limits, change_limits, change_limits),
        fault_series=2,
        find_violations=limit_violations,
    ),
    "slow-links": Pattern(
        endpoints=ENDPOINTS,
        faults={
            name: FAULTS[name]
            for name in (
                "connections of a gateway to the store",
                "replace an endpoint",
                "change the configuration",
            )
        },
        think_seconds=0.5,
        fault_series=2,
        slow_bytes_per_second=BUSY_BYTES_PER_SECOND,
        transfers_excuse=False,
    ),
    "states": Pattern(
        endpoints=ENDPOINTS,
        faults=GATEWAY_FAULTS,
        activities=(grow_configuration, change_states, change_states),
        fault_series=1,
        find_violations=state_violations,
    ),
    "evacuations": Pattern(
        endpoints=ENDPOINTS,
        zones=ZONES,
        faults=GATEWAY_FAULTS,
        activities=(grow_configuration, evacuate_zones),
        fault_series=1,
        find_violations=evacuation_violations,
    ),
    "cold": Pattern(
        endpoints=ENDPOINTS[:1],
        faults=GATEWAY_FAULTS,
        choose_request=choose_plain,
        activities=(change_temperatures, *[send_requests] * 8),
        fault_series=1,
        route_stages=False,
        find_violations=cold_violations,
    ),
    "cut-off": Pattern(
        endpoints=ENDPOINTS,
        # Few, since bounds start anew after each.
        faults={
            name: FAULTS[name] for name in ("replace an endpoint", "stop a gateway")
        },
        activities=(grow_configuration, cut_gateways_off, *[send_requests] * 12),
        fault_series=1,
        find_violations=cut_violations,
    ),
    "configurations": _judge_configurations(
        operate,
        # Few, since bounds start anew after each.
        faults={
            name: FAULTS[name]
            for name in ("kill a gateway", "pause a gateway", "replace an endpoint")
        },
    ),
    "peers": _judge_configurations(operate_quickly, faults=ISOLATIONS, fault_series=2),
    "held-versions": _judge_configurations(hold_versions, faults=LASTING_ISOLATION),
    "fragile": Pattern(
        start_endpoints=start_fragile,
        faults=GATEWAY_FAULTS,
        choose_request=choose_plain,
        activities=(change_fragility, *[send_requests] * 16),
        fault_series=1,
        find_violations=fragile_violations,
    ),
    "fragile-engines": Pattern(
        start_endpoints=start_fragile_engines,
        faults=GATEWAY_FAULTS,
        choose_request=choose_stream,
        activities=(change_fragility, *[send_requests] * 16),
        fault_series=1,
        route_stages=False,
        find_violations=fragile_violations,
    ),
    "versions": Pattern(
        endpoints=ENDPOINTS[:1],
        start_endpoints=start_versions,
        faults=GATEWAY_FAULTS,
        choose_request=choose_plain,
        activities=(change_versions, *[resume_streams] * STREAM_CALLERS),
        think_seconds=0.5,
        fault_series=1,
        route_stages=False,
        find_violations=version_violations,
    ),
    "second-version": Pattern(
        endpoints=ENDPOINTS[:1],
        start_endpoints=start_first_version,
        faults=FAULTS_OF_OTHERS,
        choose_request=choose_plain,
        activities=(lose_first_gateway, *[hold_streams] * HOLDING_CALLERS),
        think_seconds=0.5,
        fault_series=1,
        route_stages=False,
        find_violations=lost_stream_violations,
        deadline_seconds=STREAM_DEADLINE_SECONDS,
        timeout_seconds=STREAM_DEADLINE_SECONDS,
    ),
    "removals": Pattern(
        start_endpoints=start_removable,
        faults={name: FAULTS[name] for name in ("pause a gateway", "stop a gateway")},
        choose_request=choose_plain,
        activities=(disturb_store, keep_entries, remove_endpoints),
        fault_series=1,
        route_stages=False,
        find_violations=removal_violations,
    ),
    "crashing-part": Pattern(
        start_endpoints=start_engines,
        faults=GATEWAY_FAULTS,
        choose_request=choose_prompt,
        activities=(),
        think_seconds=1.0,
        fault_series=1,
        route_stages=False,
        find_violations=crash_violations,
    ),
}
