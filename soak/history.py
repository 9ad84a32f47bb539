"""What was done to the system when, and what the store said when."""

from collections.abc import Callable
import dataclasses
import enum
import math

from soak import const


class Subject(enum.Enum):
    """Kinds of things that are disrupted."""

    BALANCER = "balancer"
    ENDPOINT = "endpoint"
    STORE = "store"


@dataclasses.dataclass(slots=True, kw_only=True)
class Disruption:
    """A time in which a fault acted on something.

    Attributes:
        begun_at: Its beginning, in seconds.
        ended_at: Its end; infinite while it goes on.
    """

    begun_at: float
    ended_at: float = math.inf


class History:
    """Disruption by subject, and the times of what was published."""

    def __init__(self, *, clock: Callable[[], float]) -> None:
        """Creates an empty history."""
        self.draining_since: dict[str, float] = {}
        self.cold_until: dict[str, float] = {}
        self.domain_out_since: dict[str, float] = {}
        self.route_services: dict[tuple[str, int], set[str]] = {}
        self.route_removed_at: dict[tuple[str, int], float] = {}
        self._clock = clock
        self._disruptions: dict[tuple[Subject, str], list[Disruption]] = {}

    def begin_disruption(self, subject: Subject, name: str) -> Disruption:
        """Notes that something begins to be disrupted; the caller ends it."""
        disruption = Disruption(begun_at=self._clock())
        self._disruptions.setdefault((subject, name), []).append(disruption)
        return disruption

    def end_disruption(self, disruption: Disruption) -> None:
        """Notes the end of a disruption."""
        disruption.ended_at = self._clock()

    def is_undisrupted(self, subject: Subject, name: str) -> bool:
        """Returns whether the subject had no fault for the grace period."""
        since = self._clock() - const.DISRUPTION_GRACE_S
        return all(
            disruption.ended_at <= since
            for disruption in self._disruptions.get((subject, name), ())
        )

    def is_stable(self, balancer: str) -> bool:
        """Returns whether bounds in time hold for a balancer."""
        return self.is_undisrupted(
            Subject.BALANCER, balancer
        ) and self.is_undisrupted(Subject.STORE, "")
