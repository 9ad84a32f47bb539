"""What was done to the system when, and what the store said when."""

from collections.abc import Callable
import dataclasses
import enum
import math

from soak import const


class Subject(enum.Enum):
    """Kinds of things that are harmed."""

    BALANCER = "balancer"
    ENDPOINT = "endpoint"
    STORE = "store"


@dataclasses.dataclass(slots=True, kw_only=True)
class Harm:
    """A time in which something was not whole.

    Attributes:
        begun_at: Its beginning, in seconds.
        ended_at: Its end; infinite while it goes on.
    """

    begun_at: float
    ended_at: float = math.inf


class History:
    """Harm by subject, and the times of what was published."""

    def __init__(self, *, clock: Callable[[], float]) -> None:
        """Creates an empty history."""
        self.draining_since: dict[str, float] = {}
        self.cold_until: dict[str, float] = {}
        self.domain_out_since: dict[str, float] = {}
        self.route_services: dict[tuple[str, int], set[str]] = {}
        self.route_removed_at: dict[tuple[str, int], float] = {}
        self._clock = clock
        self._harm: dict[tuple[Subject, str], list[Harm]] = {}

    def begin_harm(self, subject: Subject, name: str) -> Harm:
        """Notes that something begins to be harmed; the caller ends it."""
        harm = Harm(begun_at=self._clock())
        self._harm.setdefault((subject, name), []).append(harm)
        return harm

    def end_harm(self, harm: Harm) -> None:
        """Notes the end of a harm."""
        harm.ended_at = self._clock()

    def is_calm(self, subject: Subject, name: str) -> bool:
        """Returns whether something was whole for the touch window."""
        since = self._clock() - const.TOUCH_S
        return all(
            harm.ended_at <= since
            for harm in self._harm.get((subject, name), ())
        )

    def is_in_touch(self, balancer: str) -> bool:
        """Returns whether bounds in time hold for a balancer."""
        return self.is_calm(Subject.BALANCER, balancer) and self.is_calm(
            Subject.STORE, ""
        )

    def get_last_harm_end(self) -> float:
        """Returns the end of the last harm of balancers and the store."""
        return max(
            (
                harm.ended_at
                for harms in self._harm.values()
                for harm in harms
                if not math.isinf(harm.ended_at)
            ),
            default=0.0,
        )
