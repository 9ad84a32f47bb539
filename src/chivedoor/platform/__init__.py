"""Adapter between the users' platform and chivedoor's types."""
