"""Routing tables, service lookup and target ownership."""
