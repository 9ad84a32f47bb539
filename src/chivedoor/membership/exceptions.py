"""Errors of the membership package."""

from chivedoor import exceptions


class MembershipError(exceptions.ChivedoorError):
    """Base class of the errors of the membership package."""


class MembersFullError(MembershipError):
    """The table of members is full and contains no dead members."""


class UnknownMemberError(MembershipError):
    """The member is not in the table."""


class MemberRecordError(MembershipError):
    """A received record of a member is malformed."""
