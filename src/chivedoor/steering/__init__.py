"""Routing of flows by a tag that their packets carry."""
