"""Measurements of chivedoor."""
