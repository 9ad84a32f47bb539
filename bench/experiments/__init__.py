"""Fault-injection experiments on deployments of real processes."""
