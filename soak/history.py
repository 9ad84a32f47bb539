"""Times of disruptions and of configuration changes."""

from collections.abc import Callable
import dataclasses
import enum
import math

from soak import const


class Subject(enum.Enum):
    """Kinds of subjects that a fault can disrupt."""

    BALANCER = "balancer"
    ENDPOINT = "endpoint"
    STORE = "store"


@dataclasses.dataclass(slots=True, kw_only=True)
class Disruption:
    """A period during which a fault affects a subject.

    Attributes:
        begun_at: Start time, in seconds.
        ended_at: End time; infinite while the disruption lasts.
    """

    begun_at: float
    ended_at: float = math.inf


class History:
    """Disruptions by subject, and the times of published changes."""

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
        """Records the start of a disruption; the caller must end it."""
        disruption = Disruption(begun_at=self._clock())
        self._disruptions.setdefault((subject, name), []).append(disruption)
        return disruption

    def end_disruption(self, disruption: Disruption) -> None:
        """Records the end of a disruption."""
        disruption.ended_at = self._clock()

    def is_undisrupted(self, subject: Subject, name: str) -> bool:
        """Returns whether the subject had no fault for the grace period."""
        since = self._clock() - const.DISRUPTION_GRACE_S
        return all(
            disruption.ended_at <= since
            for disruption in self._disruptions.get((subject, name), ())
        )

    def is_stable(self, balancer: str) -> bool:
        """Returns whether time bounds apply to a balancer.

        They do when neither the balancer nor the store was disrupted during
        the grace period.
        """
        return self.is_undisrupted(
            Subject.BALANCER, balancer
        ) and self.is_undisrupted(Subject.STORE, "")
