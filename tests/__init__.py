"""Tests of chivedoor, organised like the source tree."""
