"""Daemons that know each other, and the small facts they share."""

from currantdyke.membership.configuration import Feed
from currantdyke.membership.facts import FactStore
from currantdyke.membership.membership import Membership

__all__ = ["FactStore", "Feed", "Membership"]
