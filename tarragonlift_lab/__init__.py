"""Simulators, stand-ins, load and experiments; not imported by the product."""
