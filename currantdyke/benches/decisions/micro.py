"""Microbenchmark of decisions: ``python -m currantdyke.benches.decisions.micro``."""

import random
import statistics
import time
import tracemalloc

import click

from currantdyke.admission import WorkspaceUsage
from currantdyke.benches.decisions.workload import NG_WEST, make_bundle
from currantdyke.bundle import Bundle, EndpointSpec, Policy, Service
from currantdyke.endpoints import EndpointTable
from currantdyke.pipelines import DecisionContext, make_decisions
from currantdyke.requests import Exchange
from currantdyke.testing import run_virtual

DECISION_COUNT = 5000
WORKSPACE_COUNT = 17_000


def make_engine_bundle(count: int) -> Bundle:
    """Return a bundle whose engine service has ``count`` endpoints."""
    bundle = make_bundle(NG_WEST, Policy())
    endpoints = tuple(
        EndpointSpec(name=f"engine-{n}", url=f"http://engine-{n}") for n in range(count)
    )
    engine = Service(kind="generate", endpoints=endpoints, model=NG_WEST.engine)
    bundle.services[NG_WEST.engine] = engine
    return bundle


async def median_microseconds(count: int) -> float:
    """Return the median time in microseconds of one admission and one choice."""
    bundle = make_engine_bundle(count)
    table = EndpointTable()
    table.follow(bundle)
    decisions = make_decisions(table, random.Random(1), daemon="entry-1", zone="zone-1")
    pipeline = bundle.pipelines["notes"]
    samples = []
    for number in range(DECISION_COUNT):
        exchange = Exchange(
            request_id=f"r{number}",
            workspace=f"workspace-{number % 500}",
            pipeline="notes",
            input=f"{number % 40:08d}" * 64,
            started=0.0,
            deadline=6.0,
        )
        context = DecisionContext(
            exchange=exchange,
            service_name=NG_WEST.engine,
            service=bundle.services[NG_WEST.engine],
            policy=bundle.policy,
        )
        started = time.perf_counter()
        decisions.admit(bundle, pipeline, exchange)
        decisions.choose(context, table.of_service(NG_WEST.engine))
        samples.append(time.perf_counter() - started)
        decisions.release(exchange)
    return statistics.median(samples) * 1e6


def bytes_per_endpoint(count: int = 4200) -> float:
    """Return the bytes used by one known endpoint, without its specification."""
    bundle = make_engine_bundle(count)
    tracemalloc.start()
    table = EndpointTable()
    table.follow(bundle)
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return allocated / count


def bytes_per_workspace() -> float:
    """Return the bytes that ``WorkspaceUsage`` uses per active workspace."""
    names = [f"workspace-{n}" for n in range(WORKSPACE_COUNT)]
    tracemalloc.start()
    usage = WorkspaceUsage()
    for name in names:
        usage.add(name, 1.0, 0.0)
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return allocated / WORKSPACE_COUNT


@click.command()
def main() -> None:
    """Print the median times and the memory per endpoint and workspace."""
    for count in (12, 4200):
        median = run_virtual(median_microseconds, count)
        click.echo(f"{count} endpoints: {median:.1f} us for admission and one choice")
    click.echo(f"{bytes_per_endpoint():.0f} bytes for each known endpoint")
    click.echo(f"{bytes_per_workspace():.0f} bytes for each active workspace")


if __name__ == "__main__":
    main()
