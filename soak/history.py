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
    # The store does not respond properly.
    STORE = "store"
    # The store responds, but what was written is missing or outdated.
    STORE_CONTENT = "store-content"


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
    """Disruptions by subject, and the times of published changes.

    Attributes:
        draining_since: Time of the first draining entry, by endpoint id.
        cold_until: Time at which an endpoint is warm, by endpoint id.
        cold_unread: Ids of the endpoints that became cold while the store was
            unreadable.
        domain_out_since: Time at which a failure domain was taken out.
        route_services: All services that a route ever had.
        route_added_at: Time at which a present route was last added.
        route_removed_at: Time at which an absent route was last removed.
        first_version: First configuration version with a route.
        last_version: Latest configuration version with a route.
        started_at: Time of the last start of a balancer, by its address.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        """Creates an empty history."""
        self.draining_since: dict[str, float] = {}
        self.cold_until: dict[str, float] = {}
        self.cold_unread: set[str] = set()
        self.domain_out_since: dict[str, float] = {}
        self.route_services: dict[tuple[str, int], set[str]] = {}
        self.route_added_at: dict[tuple[str, int], float] = {}
        self.route_removed_at: dict[tuple[str, int], float] = {}
        self.first_version: dict[tuple[str, int], int] = {}
        self.last_version: dict[tuple[str, int], int] = {}
        self.started_at: dict[str, float] = {}
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
        return self.has_stable_paths(balancer) and self.is_undisrupted(
            Subject.STORE_CONTENT, ""
        )

    def has_stable_paths(self, balancer: str) -> bool:
        """Returns whether a balancer must keep its open flows.

        Unlike the time bounds, this also holds while the store is restored.
        """
        return self.is_undisrupted(
            Subject.BALANCER, balancer
        ) and self.is_undisrupted(Subject.STORE, "")
