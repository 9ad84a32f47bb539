"""Routing tables, service lookup and ownership of targets."""
