"""Delivery of requests over a fleet that a platform lists and configures."""
