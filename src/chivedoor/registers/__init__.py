"""Registers of operator commands that take failure domains out or in."""
