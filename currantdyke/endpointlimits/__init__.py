"""Limits on the requests per second that endpoints accept from the whole fleet."""
