"""Admission of new flows: limits, ramps, health and request filters."""
