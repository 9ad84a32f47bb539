"""Tests of the configservice package."""
