"""Operator commands that take failure domains out or bring them back."""
