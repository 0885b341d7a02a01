"""Decisions without input or output; the present time is an argument."""
