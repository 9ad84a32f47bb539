"""Tests of the package feed."""
