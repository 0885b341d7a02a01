"""A randomized soak of real processes with faults from outside."""
