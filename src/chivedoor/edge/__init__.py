"""Composition and lifetime of the balancer that steers by tags."""
