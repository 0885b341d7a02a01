"""tarragonlift, a load balancer for servers whose load shifts quickly."""
