"""Errors of the stand-ins."""


class StandinError(Exception):
    """Base class of all errors of the stand-ins."""


class SegmentError(StandinError):
    """A packet is malformed or has a wrong checksum."""


class PlanError(StandinError):
    """A load, a fault or another request cannot be applied."""


class ProcessError(StandinError):
    """A process exited early or was not ready in time."""
