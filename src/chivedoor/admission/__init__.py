"""Admission of new flows: limits, ramps, health and duplicate filters."""
