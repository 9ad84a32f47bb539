"""Logs as JSON lines and metrics over HTTP."""
