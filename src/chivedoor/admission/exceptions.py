"""Errors of the admission package."""

from chivedoor import exceptions


class AdmissionError(exceptions.ChivedoorError):
    """Base of the errors of the admission package."""


class ShareError(AdmissionError):
    """A share of a limit is not between 0 and 1."""


class LimitError(AdmissionError):
    """A flow was admitted that the limits or the ramp do not allow."""


class ReleaseError(AdmissionError):
    """A flow was released that is not counted."""


class RateError(AdmissionError):
    """A rate or capacity is not positive, or its service is unknown."""
