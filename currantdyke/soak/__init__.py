"""A randomized soak: gateways as processes, under faults from outside them."""
