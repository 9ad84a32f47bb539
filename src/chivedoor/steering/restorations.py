"""Changes that a store reports after it was restored from an older copy.

Such a store holds what it held seconds before. Whatever the operator and the
endpoints wrote since then is missing until they write it again. So its first
state may contradict what is known:
an entry may be older than the known one, and a failure domain that was taken
out may seem to be back in service. Newer knowledge is kept meanwhile.
"""

import dataclasses
import functools

from chivedoor import ids
from chivedoor.steering import const
from chivedoor.steering import view as views


@dataclasses.dataclass(slots=True, kw_only=True)
class _Postponement:
    """A change that is applied later unless another one follows.

    Attributes:
        change: The change.
        delay_s: Time from the restoration until it is applied, in seconds.
        due_at: Time at which it is applied, in seconds.
    """

    change: views.Change
    delay_s: float
    due_at: float


class Restorations:
    """Selects the changes of a restored store that are applied."""

    def __init__(self, *, view: views.View) -> None:
        """Creates a filter for the changes of a view."""
        self._view = view
        # By what the change is about.
        self._postponements: dict[object, _Postponement] = {}

    def restart_delays(self, now: float) -> None:
        """Restarts all delays; the store has lost its latest changes again."""
        for postponement in self._postponements.values():
            postponement.due_at = now + postponement.delay_s

    def admit(
        self, change: views.Change, now: float, *, restored: bool
    ) -> bool:
        """Returns whether a change is to be applied now.

        Args:
            change: The change.
            now: The time in seconds.
            restored: Whether the change is a part of the first state that was
                read after a restoration.
        """
        self._postponements.pop(_get_subject(change), None)
        return not restored or _admit_restored(change, self, now)

    def postpone(
        self, change: views.Change, delay_s: float, now: float
    ) -> None:
        """Applies a change later unless another one follows."""
        self._postponements[_get_subject(change)] = _Postponement(
            change=change, delay_s=delay_s, due_at=now + delay_s
        )

    def pop_due(self, confirmed_at: float) -> list[views.Change]:
        """Removes and returns the postponed changes that are due.

        Args:
            confirmed_at: Time at which the view was last known to be current,
                in seconds. A store that cannot be read replaces no change.
        """
        due = {
            subject: postponement.change
            for subject, postponement in self._postponements.items()
            if postponement.due_at <= confirmed_at
        }
        for subject in due:
            del self._postponements[subject]
        return list(due.values())

    def is_older_version(self, version: ids.Version) -> bool:
        """Returns whether a newer configuration is in force."""
        return version < self._view.version

    def admit_entry(self, change: views.ListedEndpoint, now: float) -> bool:
        """Returns whether the entry of an endpoint is to be applied now.

        An older entry does not replace the known one, but shows that it was not
        removed. The entry of an endpoint that has ended is applied once it must
        have lapsed, because heartbeats keep the entry of a living endpoint
        without a change.
        """
        known = self._view.find_known(change.endpoint.id)
        if known is None:
            return True
        known_at = (known.incarnation, known.sequence)
        restored_at = (change.endpoint.incarnation, change.endpoint.sequence)
        if known.removed_at is None or self._view.may_have_lapsed(known):
            if restored_at >= known_at:
                return True
            if known.removed_at is not None:
                self._view.relist(known)
            return False
        if restored_at > known_at:
            return True
        self.postpone(change, const.ENTRY_LIFETIME_S, now)
        return False


@functools.singledispatch
def _get_subject(change: object) -> object:
    """Returns what a change is about; a later change replaces it."""
    return type(change)


@_get_subject.register(views.ListedEndpoint)
def _(change: views.ListedEndpoint) -> object:
    return views.Endpoint, change.endpoint.id


@_get_subject.register(views.RemovedEndpoint)
@_get_subject.register(views.UnusableEndpoint)
def _(change: views.RemovedEndpoint | views.UnusableEndpoint) -> object:
    return views.Endpoint, change.endpoint_id


@_get_subject.register(views.DomainState)
def _(change: views.DomainState) -> object:
    return views.DomainState, change.domain


@functools.singledispatch
def _admit_restored(
    change: object, restorations: Restorations, now: float
) -> bool:
    """Returns whether a change in the first state is to be applied now."""
    return True


@_admit_restored.register
def _(
    change: views.Configuration, restorations: Restorations, now: float
) -> bool:
    return not restorations.is_older_version(change.version)


@_admit_restored.register
def _(
    change: views.ListedEndpoint, restorations: Restorations, now: float
) -> bool:
    return restorations.admit_entry(change, now)


@_admit_restored.register
def _(
    change: views.DomainState, restorations: Restorations, now: float
) -> bool:
    if not change.out:
        restorations.postpone(change, const.LOST_COMMAND_RETURN_S, now)
    return change.out
