"""Adapter: the users' platform in the project's types."""
