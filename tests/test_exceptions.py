"""Tests of the exception hierarchy."""

from chivedoor import exceptions


def test_base_error_is_an_ordinary_exception():
    # Guards against a base class that `except Exception` in the event loop does
    # not catch.
    assert issubclass(exceptions.ChivedoorError, Exception)
