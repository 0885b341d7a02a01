"""A load balancer for servers whose load changes quickly."""
