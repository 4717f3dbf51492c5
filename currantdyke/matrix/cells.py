"""Run one cell of the matrix in virtual time."""

import functools

import anyio
import attrs

from currantdyke.events import Event
from currantdyke.matrix.callers import CallerLog, charge_once, read_summary
from currantdyke.matrix.faults import FAULTS, Fault
from currantdyke.matrix.promises import broken_promises
from currantdyke.matrix.steps import STEPS, Step
from currantdyke.testing import FleetInMemory, fleet_in_memory, run_virtual

__all__ = ["CellResult", "run_cell"]

HEAL_AFTER_SECONDS = 4.0
RESEND_AFTER_SECONDS = 0.05
STAGE_SECONDS = 0.05
TOKEN_SECONDS = 0.02
SERVICES = {"entry-desk": {"idempotent": False}}


@attrs.define(kw_only=True)
class CellResult:
    """What came of a cell.

    Attributes
    ----------
    struck : int
        Faults that were brought in; fewer than asked where their step was not
        reached.
    broken : list of str
        Promises that did not hold.
    answered : bool
        Whether the pipeline's caller got its whole answer in the end.
    """

    faults: tuple[str, ...]
    steps: tuple[str, ...]
    seed: int
    struck: int = 0
    broken: list[str] = attrs.field(factory=list)
    answered: bool = False


class _Striker:
    """Brings each fault in once, when its step is reached."""

    def __init__(self, *, fleet: FleetInMemory, plan: list[tuple[Step, Fault]]):
        self.fleet = fleet
        self.plan = plan
        self.struck = 0
        for daemon in fleet.daemons.values():
            daemon.timeline.subscribe(self.on_event)

    def on_event(self, event: Event) -> None:
        """Look whether an event of the time line marks a step."""
        for step, fault in list(self.plan):
            if step.matches(event):
                self._strike(step, fault, event.endpoint)

    def on_mark(self, mark: str) -> None:
        """Look whether a caller's mark is a step."""
        for step, fault in list(self.plan):
            if step.mark == mark:
                self._strike(step, fault, "")

    def _strike(self, step: Step, fault: Fault, endpoint: str) -> None:
        self.plan.remove((step, fault))
        self.struck += 1
        target = endpoint or f"{step.service}-1"
        fault.strike(self.fleet, target)
        self.fleet.tasks.start_soon(self._heal, fault, target)

    async def _heal(self, fault: Fault, target: str) -> None:
        await anyio.sleep(HEAL_AFTER_SECONDS)
        fault.heal(self.fleet, target)


def run_cell(
    faults: tuple[str, ...], steps: tuple[str, ...], *, seed: int = 1
) -> CellResult:
    """Bring in each fault at its step, and judge the promises.

    Parameters
    ----------
    faults, steps : tuple of str
        Names from `FAULTS` and `STEPS`, a pair for each fault.
    seed : int
        Seed of the fleet's choices.
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
        striker = _Striker(fleet=fleet, plan=plan)
        summary, charges = CallerLog(), [CallerLog(), CallerLog()]
        habits = {fault.caller for fault in chosen}
        goes = STEPS[result.steps[0]].mark if "goes" in habits else ""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                functools.partial(read_summary, fleet, summary, striker.on_mark, goes)
            )
            tasks.start_soon(charge_once, fleet, "fee-1", charges[0])
            if "resends" in habits:
                await anyio.sleep(RESEND_AFTER_SECONDS)
                tasks.start_soon(charge_once, fleet, "fee-1", charges[1])
            else:
                charges.pop()
        result.struck = striker.struck
        result.answered = bool(summary.answers)
        result.broken = broken_promises(fleet, summary, {"fee-1": charges})
