"""Randomized soak of edge balancers under faults from outside."""
