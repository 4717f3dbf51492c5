"""What a daemon knows of each endpoint."""

from currantdyke.endpoints.liveness import EndpointLiveness
from currantdyke.endpoints.table import Endpoint, EndpointTable

__all__ = ["Endpoint", "EndpointLiveness", "EndpointTable"]
