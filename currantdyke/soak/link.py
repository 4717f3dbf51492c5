"""Run a gateway whose connections share a link, and come from its own address.

``python -m currantdyke.soak.link IP BYTES_PER_SECOND [PLANTED]``
"""

import sys

from currantdyke.gateway.__main__ import main as run_gateway
from currantdyke.soak.planted import PLANTED
from currantdyke.testing.throttle import (
    Bandwidth,
    limit_bandwidth,
    throttle_connections,
)


def main() -> int:
    """Run the gateway, with a planted fault if one is named; return its exit code."""
    for name in sys.argv[3:]:
        PLANTED[name]()
    bandwidth = Bandwidth(local_host=sys.argv[1], bytes_per_second=float(sys.argv[2]))
    with throttle_connections(), limit_bandwidth(bandwidth):
        return run_gateway()


if __name__ == "__main__":
    sys.exit(main())
