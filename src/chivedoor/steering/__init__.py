"""Steering of flows to endpoints by the tag in their packets."""
