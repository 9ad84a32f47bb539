"""Tests of the package steering."""
