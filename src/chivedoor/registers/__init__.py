"""Operators' commands that take failure domains out and back in."""
