"""Conversion of the platform's packet and store formats."""
