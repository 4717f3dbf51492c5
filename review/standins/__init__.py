"""Stand-ins for the platform, its runners and its requesters, for the review's cases.

They need the standard library only, listen on loopback addresses and behave as the
users' pages say, except where a case plays a disruption that the pages name.
"""
