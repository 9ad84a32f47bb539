"""Tests of the flows package."""
