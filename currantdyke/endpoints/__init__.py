"""What a daemon knows of each endpoint."""

from currantdyke.endpoints.table import Endpoint, EndpointTable

__all__ = ["Endpoint", "EndpointTable"]
