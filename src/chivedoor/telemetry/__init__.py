"""Structured logs as JSON lines and metrics over HTTP."""
