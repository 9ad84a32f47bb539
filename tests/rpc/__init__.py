"""Tests of the rpc package."""
