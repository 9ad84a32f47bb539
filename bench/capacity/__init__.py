"""Benchmarks of the parts of a balancer: python -m bench.capacity."""
