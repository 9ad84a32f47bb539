"""Base of the tree of errors; each package derives its own from it."""


class ChivedoorError(Exception):
    """Base of all errors of chivedoor."""
