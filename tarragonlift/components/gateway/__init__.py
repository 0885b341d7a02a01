"""Serves callers in front of a fleet of servers listed by a platform."""
