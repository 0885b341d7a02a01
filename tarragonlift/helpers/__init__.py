"""Helpers shared by several modules."""
