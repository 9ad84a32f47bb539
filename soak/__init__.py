"""Randomized soak test of edge balancers under injected faults."""
