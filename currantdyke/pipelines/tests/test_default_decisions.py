import random
import unittest

import attrs

from currantdyke.bundle import Stage
from currantdyke.endpoints import EndpointTable
from currantdyke.pipelines.decisions import DecisionContext
from currantdyke.pipelines.default_decisions import DecisionState, bind_decisions
from currantdyke.routing import Pools
from currantdyke.testing import run_virtual
from currantdyke.testing.builders import (
    build_bundle,
    build_exchange,
    build_pipeline,
)


def build_state(bundle):
    table = EndpointTable()
    table.follow(bundle)
    return DecisionState(
        endpoints=table,
        pools=Pools(daemon="entry-1"),
        random_source=random.Random(1),
        zone="jos-a",
    )


def build_context(bundle, exchange, service):
    return DecisionContext(
        exchange=exchange,
        service_name=service,
        service=bundle.services[service],
        policy=bundle.policy,
        tried=[],
    )


class TestUnstartedCalls(unittest.TestCase):
    def test_choices_for_two_stages_of_one_service_decrement_the_count_to_zero(self):
        async def scenario():
            bundle = build_bundle({"encoder": ["http://encoder-1:1"]})
            stages = tuple(Stage(name=n, service="encoder") for n in ("notes", "rules"))
            pipeline = build_pipeline(stages=stages)
            state = build_state(bundle)
            decisions = bind_decisions(state)
            seen = []
            exchange = build_exchange()
            self.assertIsNone(decisions.admit(bundle, pipeline, exchange))
            seen.append(state.unstarted_calls["encoder"])
            candidates = state.endpoints.of_service("encoder")
            for _ in stages:
                decisions.choose(build_context(bundle, exchange, "encoder"), candidates)
                seen.append(state.unstarted_calls["encoder"])
            decisions.release(exchange)
            return [*seen, state.unstarted_calls["encoder"]]

        self.assertEqual(run_virtual(scenario), [2, 1, 0, 0])

    def test_request_that_ends_before_its_stages_leaves_no_unstarted_calls(self):
        async def scenario():
            bundle = build_bundle({"encoder": ["http://encoder-1:1"]})
            stages = tuple(Stage(name=n, service="encoder") for n in ("notes", "rules"))
            state = build_state(bundle)
            decisions = bind_decisions(state)
            exchange = build_exchange()
            decisions.admit(bundle, build_pipeline(stages=stages), exchange)
            decisions.release(exchange)
            return state.unstarted_calls["encoder"], state.unstarted_by_request

        self.assertEqual(run_virtual(scenario), (0, {}))


class TestLastStage(unittest.TestCase):
    def test_request_with_slow_optional_last_stage_is_refused(self):
        async def scenario():
            bundle = build_bundle({"encoder": ["http://encoder-1:1"]})
            slow = attrs.evolve(bundle.services["encoder"], typical_seconds=60.0)
            bundle = attrs.evolve(bundle, services={"encoder": slow})
            only = Stage(name="notes", service="encoder", optional=True)
            decisions = bind_decisions(build_state(bundle))
            return decisions.admit(
                bundle, build_pipeline(stages=(only,)), build_exchange()
            )

        self.assertIsNotNone(run_virtual(scenario))


if __name__ == "__main__":
    unittest.main()
