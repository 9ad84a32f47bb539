"""Tests of the package standins.echo."""
