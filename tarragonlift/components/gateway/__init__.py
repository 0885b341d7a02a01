"""Serves callers in front of a fleet that a platform lists."""
