"""Delivery of requests to a fleet that is listed by a platform."""
