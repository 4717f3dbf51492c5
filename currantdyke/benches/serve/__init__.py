"""Throughput of one daemon on one core, and the latency that it adds."""
