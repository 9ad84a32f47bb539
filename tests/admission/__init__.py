"""Tests of the admission of new flows."""
