"""Randomized soak test of real daemon processes with injected faults."""
