"""Benchmarks and experiments of chivedoor."""
