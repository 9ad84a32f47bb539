"""Composition and lifetime of the daemon on an entry VM."""
