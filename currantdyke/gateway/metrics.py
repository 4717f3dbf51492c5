"""Prometheus metrics of one gateway process."""

import prometheus_client

from currantdyke.forward.exchange import Exchange

__all__ = ["GatewayMetrics"]

# Dense around the latency targets of the kinds of request, 0.1 to 1.7 s.
LATENCY_BUCKETS_SECONDS = (
    0.02,
    0.05,
    0.1,
    0.2,
    0.4,
    0.7,
    1.0,
    1.3,
    1.7,
    2.5,
    5.0,
    10.0,
)


class GatewayMetrics:
    """Metrics of the gateway; all labels have bounded sets of values."""

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = prometheus_client.Counter(
            "currantdyke_gateway_requests",
            "Requests ended, by service and outcome",
            ("service", "outcome"),
            registry=self.registry,
        )
        self.refusals = prometheus_client.Counter(
            "currantdyke_gateway_refusals",
            "Answers of the gateway's own, by reason and status",
            ("reason", "status"),
            registry=self.registry,
        )
        self.unanswered = prometheus_client.Counter(
            "currantdyke_gateway_unanswered",
            "Requests read whole that ended without a whole answer, by reason",
            ("reason",),
            registry=self.registry,
        )
        self.connections_closed = prometheus_client.Counter(
            "currantdyke_gateway_connections_closed",
            "Connections of clients closed or refused because of a limit, by reason",
            ("reason",),
            registry=self.registry,
        )
        self.sends = prometheus_client.Counter(
            "currantdyke_gateway_sends",
            "Requests sent to endpoints, by service",
            ("service",),
            registry=self.registry,
        )
        self.request_seconds = prometheus_client.Histogram(
            "currantdyke_gateway_request_seconds",
            "Time to the first event of a stream or to the end of a plain answer",
            ("service",),
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.store_calls = self.gauge("store_calls", "Calls to the store")
        self.store_era = self.gauge(
            "store_era", "Era of the store; it rises when the store returns from a copy"
        )
        self.store_age = self.gauge(
            "store_age_seconds", "Seconds since the store last answered"
        )
        self.watches_cut = self.gauge(
            "store_watches_cut", "Waiting watches that the store has cut"
        )
        self.store_bytes = self.gauge(
            "store_bytes", "Bytes received in answers of the store"
        )
        self.changes_seconds = self.gauge(
            "changes_seconds",
            "Duration of the last request for changes that another daemon answered",
        )
        self.internal_errors = self.gauge(
            "internal_errors", "Internal errors since the start"
        )
        self.directory_age = self.gauge(
            "directory_age_seconds",
            "Seconds since the daemon last knew the state of the store",
        )
        self.configuration = self.gauge(
            "configuration_version", "Version of the configuration in force"
        )
        self.configuration_revision = self.gauge(
            "configuration_revision",
            "Revision of the store at which the configuration in force was written",
        )
        self.newest_version = self.gauge(
            "newest_configuration_version", "Highest version that is known to exist"
        )
        self.newest_revision = self.gauge(
            "newest_configuration_revision",
            "Newest revision at which a configuration is known to have been written",
        )
        self.may_refuse = self.gauge(
            "configuration_decides",
            "Whether refusals by the configuration in force are final",
        )
        self.configuration_problems = self.gauge(
            "configuration_problems",
            "Entries and fields of the configuration in force that can't be used",
        )
        self.unreadable_items = self.gauge(
            "unreadable_items",
            "Items of the store that could not be decoded or were rejected",
        )
        self.endpoints = self.gauge("endpoints", "Endpoints that may get new work")
        self.evacuated_endpoints = prometheus_client.Gauge(
            "currantdyke_gateway_evacuated_endpoints",
            "Endpoints in evacuated availability zones, by zone",
            ("zone",),
            registry=self.registry,
        )
        self.daemons = self.gauge("daemons", "Daemons that are registered")
        self.stage_calls = self.gauge("stage_calls", "Calls to stage endpoints")
        self.stage_pieces = self.gauge("stage_pieces", "Pieces sent in stage calls")
        self.placement_refusals = self.gauge(
            "placement_refusals",
            "Requests that were refused as owner, by reason and rank",
            ("code", "rank"),
        )
        self.prefix_hit_tokens = self.gauge(
            "prefix_hit_tokens", "Prompt tokens expected in an engine's cache"
        )
        self.prompt_tokens = self.gauge(
            "prompt_tokens", "Prompt tokens of the requests placed"
        )
        self.crash_events = self.gauge(
            "crash_events", "Crashes of endpoints known since the start"
        )
        self.crash_groups = self.gauge(
            "crash_groups", "Groups of requests refused because they crash endpoints"
        )
        self.crash_refusals = self.gauge(
            "crash_refusals", "Refusals of requests that crash endpoints"
        )
        self.endpoint_limits = self.gauge(
            "endpoint_limits", "Endpoints that name a limit on requests per second"
        )
        self.cold_endpoints = self.gauge(
            "cold_endpoints", "Endpoints whose entries say that they are cold"
        )
        self.limit_refusals = self.gauge(
            "limit_refusals", "Requests not sent to an endpoint because of its limit"
        )
        self.limit_requests = self.gauge(
            "limit_requests", "Requests to other daemons for a part of a limit"
        )
        self.load_samples = self.gauge(
            "load_samples", "Endpoints that have stated their load and speed"
        )
        self.load_sample_age = self.gauge(
            "load_sample_age_seconds", "Median age of the latest samples of loads"
        )
        self.load_spread = self.gauge(
            "load_spread",
            "Highest factor on the duration of work in these samples by the lowest one",
        )
        self.unreadable_loads = self.gauge(
            "unreadable_loads", "Answers whose statement of a load can't be used"
        )
        self.version_requests = self.gauge(
            "version_requests", "Requests to other daemons for the version of a stream"
        )
        self.resumptions_refused = self.gauge(
            "resumptions_refused", "Streams whose version is not known or has no engine"
        )
        self.cut_off = self.gauge(
            "cut_off", "Whether this daemon reaches no endpoint that others reach"
        )
        self.tunnels_opened = self.gauge(
            "tunnels_opened", "Connections to endpoints through other daemons"
        )
        self.tunnels_served = self.gauge(
            "tunnels_served", "Connections to endpoints for other daemons"
        )
        self.log_lines_dropped = self.gauge(
            "log_lines_dropped", "Lines dropped since the last were told of"
        )

    def gauge(
        self, name: str, text: str, labels: tuple[str, ...] = ()
    ) -> prometheus_client.Gauge:
        """Return a gauge whose value is set when the metrics are read."""
        return prometheus_client.Gauge(
            f"currantdyke_gateway_{name}", text, labels, registry=self.registry
        )

    def set_evacuated(self, counts: dict[str, int]) -> None:
        """Set the number of endpoints of each evacuated zone, and of no other."""
        self.evacuated_endpoints.clear()
        for zone, count in counts.items():
            self.evacuated_endpoints.labels(zone).set(count)

    def record_request(self, exchange: Exchange, outcome: str, seconds: float) -> None:
        """Record a request that has ended."""
        outcome_label = outcome.partition(":")[0]
        self.requests.labels(exchange.service, outcome_label).inc()
        self.sends.labels(exchange.service).inc(exchange.sends)
        if outcome == "answered":
            first = exchange.first_event_at
            latency = seconds if first is None else first - exchange.arrived_at
            self.request_seconds.labels(exchange.service).observe(latency)

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
