"""Tests of the tree of errors."""

from chivedoor import exceptions


def test_base_error_is_an_ordinary_exception():
    # Guards against a base that escapes `except Exception` in the loop.
    assert issubclass(exceptions.ChivedoorError, Exception)
