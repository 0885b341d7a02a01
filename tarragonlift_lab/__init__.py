"""Stand-ins, load and experiments; the product never imports this."""
