"""Fixtures shared by all tests."""

import pathlib

import pytest


@pytest.fixture
def examples_path() -> pathlib.Path:
    return pathlib.Path(__file__).parent.parent / "examples"
