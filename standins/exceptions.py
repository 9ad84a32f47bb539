"""Errors of the stand-ins."""


class StandinError(Exception):
    """Base of all errors of the stand-ins."""


class SegmentError(StandinError):
    """A packet that a host discards: malformed or with a wrong checksum."""


class PlanError(StandinError):
    """A plan of loads or a fault request that the stand-in cannot apply."""


class ProcessError(StandinError):
    """A process that ended early or did not become ready in time."""
