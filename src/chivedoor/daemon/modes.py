"""Announcement of the routing modes of targets over the board."""

from chivedoor import ids
from chivedoor.balancer import balancer as balancers
from chivedoor.control import board as board_module
from chivedoor.flows import owner as owners

_PREFIX = "mode/"


class ModeAnnouncer:
    """Publishes modes of owned targets and applies those of other owners."""

    def __init__(
        self, *, balancer: balancers.Balancer, board: board_module.Board
    ) -> None:
        self._balancer = balancer
        self._board = board
        self._announced: dict[ids.EndpointNumber, balancers.DirectMode] = {}
        self._unsubscribe = board.subscribe(_PREFIX, self._handle_entry)

    def unload(self) -> None:
        """Unsubscribes from the board."""
        self._unsubscribe()

    def announce(self, now: float) -> None:
        """Publishes the modes that changed since the previous call."""
        current = {
            mode.number: mode for mode in self._balancer.list_direct_modes(now)
        }
        for number in self._announced.keys() - current.keys():
            # Withdrawals are urgent: until the other balancers know them,
            # packets of established flows that were redirected to another
            # endpoint are lost.
            self._board.publish(f"{_PREFIX}{number}", None, True, now)
            self._balancer.clear_direct_mode(
                number, self._balancer.context.local_id
            )
        for number, mode in current.items():
            if self._announced.get(number) != mode:
                self._board.publish(
                    f"{_PREFIX}{number}", mode.generation, False, now
                )
                self._balancer.set_direct_mode(mode)
        self._announced = current

    def reset(self) -> None:
        """Clears the announcements of the previous incarnation."""
        self._announced.clear()

    def _handle_entry(
        self, topic: str, origin: ids.VmId, entry: board_module.Entry | None
    ) -> None:
        if origin == self._balancer.context.local_id:
            return
        number = ids.EndpointNumber(int(topic.removeprefix(_PREFIX)))
        if entry is None or entry.value is None:
            self._balancer.clear_direct_mode(number, origin)
            return
        self._balancer.set_direct_mode(
            balancers.DirectMode(
                number=number,
                identity=owners.OwnerIdentity(
                    member=origin, incarnation=entry.incarnation
                ),
                generation=ids.Generation(entry.value),
            )
        )
