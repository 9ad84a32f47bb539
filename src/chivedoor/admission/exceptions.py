"""Errors of the admission package."""

from chivedoor import exceptions


class AdmissionError(exceptions.ChivedoorError):
    """Base of the errors of the admission package."""


class ShareError(AdmissionError):
    """A share of a limit is not between 0 and 1."""


class LimitError(AdmissionError):
    """A flow was admitted without a decision, or beyond the limits."""


class ReleaseError(AdmissionError):
    """A flow was released although no flow of its kind is open."""


class RateError(AdmissionError):
    """A rate or capacity is not positive, or its service is unknown."""
