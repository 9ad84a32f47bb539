"""Ejection of unhealthy targets, coordinated between their owners."""

from chivedoor import ids
from chivedoor.admission import health
from chivedoor.balancer import balancer as balancers
from chivedoor.control import board as board_module
from chivedoor.flows import owner as owners
from chivedoor.routing import directory as directories

_PREFIX = "bad/"


class EjectionAnnouncer:
    """Publishes which owned targets are `BAD` and ejects at most half.

    Only the owner of a target knows its health. Without the announcements of
    the other owners it could not distinguish one bad target from a common
    cause that makes all targets look bad. Ejecting all of them would leave
    the service without targets.
    """

    def __init__(
        self, *, balancer: balancers.Balancer, board: board_module.Board
    ) -> None:
        self._context = balancer.context
        self._board = board
        self._announced: frozenset[ids.EndpointNumber] = frozenset()

    def reset(self) -> None:
        """Clears the announcements of the previous incarnation."""
        self._announced = frozenset()

    def announce(self, now: float) -> None:
        """Publishes health changes and updates which targets are ejectable."""
        owned = self._list_owned()
        bad = frozenset(
            number
            for number, target in owned.items()
            if target.admission.health_state is health.HealthState.BAD
        )
        for number in bad - self._announced:
            self._board.publish(f"{_PREFIX}{number}", True, False, now)
        for number in self._announced - bad:
            self._board.publish(f"{_PREFIX}{number}", None, False, now)
        self._announced = bad
        for number in bad:
            routes, _ = self._context.directory.endpoints_by_number[number]
            ejected = health.choose_ejected(self._collect_health_states(routes))
            owned[number].admission.set_ejectable(number in ejected)

    def _list_owned(self) -> dict[ids.EndpointNumber, owners.TargetState]:
        return {
            number: target
            for number, target in self._context.targets.items()
            if target.role is owners.Role.OWNER
        }

    def _collect_health_states(
        self, routes: directories.ServiceRoutes
    ) -> dict[ids.EndpointNumber, health.HealthState]:
        """Returns the health of a service's targets, as announced by owners."""
        return {
            endpoint.number: (
                health.HealthState.BAD
                if self._is_announced_bad(endpoint.number)
                else health.HealthState.GOOD
            )
            for endpoint in routes.service.endpoints
        }

    def _is_announced_bad(self, number: ids.EndpointNumber) -> bool:
        if number in self._announced:
            return True
        _, endpoint = self._context.directory.endpoints_by_number[number]
        owner = self._context.find_owner(endpoint)
        if owner is None:
            return False
        entry = self._board.get_from(f"{_PREFIX}{number}", owner)
        return entry is not None and entry.value is True
