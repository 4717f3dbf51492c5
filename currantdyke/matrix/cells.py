"""Execution of one cell of the fault matrix in virtual time."""

import functools

import anyio
import attrs

from currantdyke.events import Event
from currantdyke.matrix.callers import CallerLog, read_summary, send_charge
from currantdyke.matrix.faults import FAULTS, Fault
from currantdyke.matrix.guarantees import guarantee_violations
from currantdyke.matrix.steps import STEPS, Step
from currantdyke.testing import FleetInMemory, fleet_in_memory, run_virtual

__all__ = ["CellResult", "run_cell"]

RECOVERY_DELAY_SECONDS = 4.0
RESEND_DELAY_SECONDS = 0.05
STAGE_SECONDS = 0.05
TOKEN_SECONDS = 0.02
SERVICES = {"entry-desk": {"idempotent": False}}


@attrs.define(kw_only=True)
class CellResult:
    """Result of a cell.

    Attributes
    ----------
    injected : int
        Number of faults injected; less than requested if a step was not reached.
    violations : list of str
        Guarantees that were violated.
    answered : bool
        Whether the pipeline's caller received a final answer.
    """

    faults: tuple[str, ...]
    steps: tuple[str, ...]
    seed: int
    injected: int = 0
    violations: list[str] = attrs.field(factory=list)
    answered: bool = False


class _FaultInjector:
    """Injects each fault once, when its step is reached."""

    def __init__(self, *, fleet: FleetInMemory, plan: list[tuple[Step, Fault]]):
        self.fleet = fleet
        self.plan = plan
        self.injected = 0
        for daemon in fleet.daemons.values():
            daemon.timeline.subscribe(self.on_event)

    def on_event(self, event: Event) -> None:
        """Inject the faults whose step is marked by a timeline event."""
        for step, fault in list(self.plan):
            if step.matches(event):
                self._inject(step, fault, event.endpoint)

    def on_caller_step(self, caller_step: str) -> None:
        """Inject the faults whose step was reached by the caller."""
        for step, fault in list(self.plan):
            if step.caller_step == caller_step:
                self._inject(step, fault, "")

    def _inject(self, step: Step, fault: Fault, endpoint: str) -> None:
        self.plan.remove((step, fault))
        self.injected += 1
        target = endpoint or f"{step.service}-1"
        fault.inject(self.fleet, target)
        self.fleet.tasks.start_soon(self._recover, fault, target)

    async def _recover(self, fault: Fault, target: str) -> None:
        await anyio.sleep(RECOVERY_DELAY_SECONDS)
        fault.recover(self.fleet, target)


def run_cell(
    faults: tuple[str, ...], steps: tuple[str, ...], *, seed: int = 1
) -> CellResult:
    """Inject each fault at its step and check the guarantees.

    Parameters
    ----------
    faults, steps : tuple of str
        Names from `FAULTS` and `STEPS`; the n-th fault is injected at the n-th step.
    seed : int
        Seed of the fleet's random choices.
    """
    result = CellResult(faults=faults, steps=steps, seed=seed)
    run_virtual(_run, result)
    return result


async def _run(result: CellResult) -> None:
    async with fleet_in_memory(
        endpoints=2, seed=result.seed, bundle={"services": SERVICES}
    ) as fleet:
        for standin in fleet.standins.values():
            standin.seconds = STAGE_SECONDS
            standin.token_seconds = TOKEN_SECONDS
        chosen = [FAULTS[name] for name in result.faults]
        plan = [(STEPS[s], f) for s, f in zip(result.steps, chosen, strict=True)]
        injector = _FaultInjector(fleet=fleet, plan=plan)
        summary, charges = CallerLog(), [CallerLog(), CallerLog()]
        caller_behaviours = {fault.caller_behaviour for fault in chosen}
        disconnect_step = (
            STEPS[result.steps[0]].caller_step if "goes" in caller_behaviours else ""
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                functools.partial(
                    read_summary,
                    fleet,
                    summary,
                    injector.on_caller_step,
                    disconnect_step,
                )
            )
            tasks.start_soon(send_charge, fleet, "fee-1", charges[0])
            if "resends" in caller_behaviours:
                await anyio.sleep(RESEND_DELAY_SECONDS)
                tasks.start_soon(send_charge, fleet, "fee-1", charges[1])
            else:
                charges.pop()
        result.injected = injector.injected
        result.answered = bool(summary.answers)
        result.violations = guarantee_violations(fleet, summary, {"fee-1": charges})
