"""Measures what each part of a balancer costs: python -m bench.capacity."""
