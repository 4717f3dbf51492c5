"""Connections to endpoints through other daemons, for one that is cut off from them."""
