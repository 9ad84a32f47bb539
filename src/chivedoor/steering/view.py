"""View of a balancer: routes, endpoints and domains that are taken out."""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import functools
import itertools

from chivedoor import ids
from chivedoor.steering import const
from chivedoor.steering import segment as segments
from chivedoor.steering import tags


class Endpoint:
    """A running instance of a target.

    Attributes:
        id: Id of the endpoint.
        numeric_id: The id as a number.
        tag_prefix: Upper bits of the tags of its flows.
        address: Host and port that packets are sent to.
        service: The service that it belongs to.
        domain: Its failure domain.
        slots: Number of requests that it processes at a time.
        incarnation: Start time of the process, in milliseconds of Unix time.
        sequence: Number of its entry, counted from the start of the process.
        draining: Whether it finishes its flows and takes no new ones.
        cold_until: Time until which it is warming up and takes little load.
        removed_at: Time at which its entry disappeared, None while listed.
    """

    __slots__ = (
        "address",
        "cold_until",
        "domain",
        "draining",
        "id",
        "incarnation",
        "numeric_id",
        "removed_at",
        "sequence",
        "service",
        "tag_prefix",
        "slots",
    )

    def __init__(
        self,
        *,
        id: ids.EndpointId,
        numeric_id: int,
        address: tuple[str, int],
        service: ids.ServiceId,
        domain: ids.DomainId,
        slots: int,
        incarnation: int,
        sequence: int,
        draining: bool,
        cold_until: float,
    ) -> None:
        """Creates a listed endpoint; `cold_until` is in seconds."""
        self.id = id
        self.numeric_id = numeric_id
        self.tag_prefix = tags.compute_tag_prefix(id)
        self.address = address
        self.service = service
        self.domain = domain
        self.slots = slots
        self.incarnation = incarnation
        self.sequence = sequence
        self.draining = draining
        self.cold_until = cold_until
        self.removed_at: float | None = None


@dataclasses.dataclass(slots=True, kw_only=True)
class Route:
    """An address and port with the services behind it.

    Attributes:
        name: Name of the route in the configuration.
        weighted_services: Services with their weights.
        idempotent: Whether requests are idempotent, so that callers retry a
            failed request even if it may have been executed.
        goal_s: Time within which a request is to be answered, in seconds; 0
            if the configuration names none.
        priority: Importance among the routes of a service; 0 is the highest.
    """

    name: str
    weighted_services: tuple[tuple[ids.ServiceId, float], ...]
    idempotent: bool
    goal_s: float = 0.0
    priority: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class ServiceLimits:
    """Limits of a service.

    Attributes:
        warmup_per_s: New flows per second that a cold endpoint can take.
        max_flows: Flows that each endpoint holds; 0 if not limited.
    """

    warmup_per_s: float
    max_flows: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class ListedEndpoint:
    """Change: an endpoint was added or its entry was updated."""

    endpoint: Endpoint


@dataclasses.dataclass(slots=True, kw_only=True)
class RemovedEndpoint:
    """Change: the entry of an endpoint disappeared."""

    endpoint_id: ids.EndpointId


@dataclasses.dataclass(slots=True, kw_only=True)
class UnusableEndpoint:
    """Change: the entry of an endpoint became unusable.

    It tells nothing about the endpoint, which may still serve its flows.
    """

    endpoint_id: ids.EndpointId


@dataclasses.dataclass(slots=True, kw_only=True)
class Configuration:
    """Change: a new version of the full configuration."""

    version: ids.Version
    routes: Mapping[segments.RouteKey, Route]
    services: Mapping[ids.ServiceId, ServiceLimits]


@dataclasses.dataclass(slots=True, kw_only=True)
class DomainState:
    """Change: a failure domain was taken out or put back into service."""

    domain: ids.DomainId
    out: bool


Change = (
    ListedEndpoint
    | RemovedEndpoint
    | UnusableEndpoint
    | Configuration
    | DomainState
)


class View:
    """State on which steering decisions are based.

    Attributes:
        version: Version of the active configuration, 0 without one.
        routes: Routes by port and address.
        services: Limits by service.
        endpoints: Listed endpoints by id.
        domains_out: Failure domains that are taken out and get no new flows.
    """

    def __init__(self) -> None:
        self.version = ids.Version(0)
        self.routes: Mapping[segments.RouteKey, Route] = {}
        self.services: Mapping[ids.ServiceId, ServiceLimits] = {}
        self.endpoints: dict[ids.EndpointId, Endpoint] = {}
        self.domains_out: set[ids.DomainId] = set()
        self._lowest_priorities: dict[ids.ServiceId, int] = {}
        self._goals_s: dict[ids.ServiceId, float] = {}
        # Routes that a configuration dropped, with the time.
        self._dropped_routes: dict[segments.RouteKey, float] = {}
        self._by_service: dict[ids.ServiceId, dict[ids.EndpointId, Endpoint]]
        self._by_service = {}
        self._by_tag_prefix: dict[int, list[Endpoint]] = {}
        self._removed: dict[ids.EndpointId, Endpoint] = {}
        # Removed endpoints whose entry may have lapsed, by time of removal.
        self._lapsing: dict[ids.EndpointId, Endpoint] = {}

    def get_endpoints(self, service: ids.ServiceId) -> list[Endpoint]:
        """Returns the listed endpoints of a service."""
        return list(self._by_service.get(service, {}).values())

    def find_endpoint(
        self, tag: ids.Tag, flow: segments.FlowId
    ) -> Endpoint | None:
        """Returns the endpoint of a tag, including removed endpoints."""
        candidates = self._by_tag_prefix.get(tag >> const.CHECK_BITS)
        if candidates is None:
            return None
        check = tag & const.CHECK_MASK
        for endpoint in candidates:
            if tags.compute_check_bits(endpoint.numeric_id, flow) == check:
                return endpoint
        return None

    def find_known(self, endpoint_id: ids.EndpointId) -> Endpoint | None:
        """Returns an endpoint that is listed or was removed recently."""
        return self.endpoints.get(endpoint_id) or self._removed.get(endpoint_id)

    def is_route_dropped(self, route: segments.RouteKey) -> bool:
        """Returns whether a configuration dropped a route recently.

        A route that was never known may be newer than the view.
        """
        return route in self._dropped_routes

    def may_have_lapsed(self, endpoint: Endpoint) -> bool:
        """Returns whether only the entry of a removed endpoint may be gone."""
        return endpoint.id in self._lapsing

    def relist(self, endpoint: Endpoint) -> None:
        """Lists a removed endpoint again as it was known."""
        endpoint.removed_at = None
        self.add_endpoint(endpoint)

    def apply(self, change: Change, now: float) -> bool:
        """Applies a change; older configurations are ignored.

        Returns:
            Whether the view changed.
        """
        return _apply(change, self, now)

    def set_configuration(self, change: Configuration, now: float) -> None:
        """Replaces routes and services by those of a newer version."""
        dropped = self.routes.keys() - change.routes.keys()
        self._dropped_routes |= dict.fromkeys(dropped, now)
        for route in change.routes:
            self._dropped_routes.pop(route, None)
        self.version = change.version
        self.routes = change.routes
        self.services = change.services
        self._lowest_priorities = _find_lowest_priorities(change.routes)
        self._goals_s = _find_goals(change.routes)

    def get_lowest_priority(self, service: ids.ServiceId) -> int:
        """Returns the priority of the least important route of a service."""
        return self._lowest_priorities.get(service, 0)

    def get_goal_s(self, service: ids.ServiceId) -> float:
        """Returns the shortest goal of a service's routes; 0 without any."""
        return self._goals_s.get(service, 0.0)

    def expire_removed(self, now: float) -> None:
        """Forgets removed endpoints and routes after their retention time."""
        oldest = now - const.REMOVED_ENDPOINT_RETENTION_S
        self._dropped_routes = {
            route: dropped_at
            for route, dropped_at in self._dropped_routes.items()
            if dropped_at >= oldest
        }
        expired = [
            endpoint
            for endpoint in self._removed.values()
            if endpoint.removed_at is not None and endpoint.removed_at < oldest
        ]
        for endpoint in expired:
            del self._removed[endpoint.id]
            self._lapsing.pop(endpoint.id, None)
            self._unindex(endpoint)

    def add_endpoint(self, endpoint: Endpoint) -> bool:
        """Adds an endpoint or replaces its entry; always returns True."""
        former = self.endpoints.get(endpoint.id)
        former = former or self._removed.pop(endpoint.id, None)
        if former is not None:
            self._lapsing.pop(former.id, None)
            self._unindex(former)
            self._by_service.get(former.service, {}).pop(former.id, None)
        self.endpoints[endpoint.id] = endpoint
        self._by_service.setdefault(endpoint.service, {})[endpoint.id] = (
            endpoint
        )
        self._by_tag_prefix.setdefault(endpoint.tag_prefix, []).append(endpoint)
        return True

    def remove_endpoint(self, endpoint_id: ids.EndpointId, now: float) -> bool:
        """Removes an endpoint from placement; its tags stay known.

        Returns:
            Whether the endpoint was listed.
        """
        endpoint = self.endpoints.pop(endpoint_id, None)
        if endpoint is None:
            return False
        self._by_service[endpoint.service].pop(endpoint_id, None)
        endpoint.removed_at = now
        self._removed[endpoint_id] = endpoint
        self._lapsing[endpoint_id] = endpoint
        return True

    def stop_placement(self, endpoint_id: ids.EndpointId) -> bool:
        """Excludes an endpoint from new flows, as if it were draining.

        Returns:
            Whether it took new flows before.
        """
        endpoint = self.endpoints.get(endpoint_id)
        if endpoint is None or endpoint.draining:
            return False
        endpoint.draining = True
        return True

    def pop_ended(self, removed_until: float) -> list[Endpoint]:
        """Returns each endpoint once that was removed by a time.

        Endpoints whose entry returned in the meantime are not included.
        """
        due = list(
            itertools.takewhile(
                lambda endpoint: (endpoint.removed_at or 0.0) <= removed_until,
                self._lapsing.values(),
            )
        )
        for endpoint in due:
            del self._lapsing[endpoint.id]
        return due

    def iterate_removed(self) -> Iterator[Endpoint]:
        """Returns the removed endpoints whose tags are still known."""
        return iter(tuple(self._removed.values()))

    def dump_state(self) -> dict[str, object]:
        """Returns the view as JSON-serializable values."""
        listed = itertools.chain(
            self.endpoints.values(), self._removed.values()
        )
        return {
            "version": self.version,
            "routes": len(self.routes),
            "domains_out": sorted(self.domains_out),
            "endpoints": [
                {
                    "id": endpoint.id,
                    "service": endpoint.service,
                    "domain": endpoint.domain,
                    "draining": endpoint.draining,
                    "cold_until": endpoint.cold_until,
                    "removed_at": endpoint.removed_at,
                }
                for endpoint in listed
            ],
        }

    def _unindex(self, endpoint: Endpoint) -> None:
        remaining = [
            other
            for other in self._by_tag_prefix.get(endpoint.tag_prefix, ())
            if other.id != endpoint.id
        ]
        if remaining:
            self._by_tag_prefix[endpoint.tag_prefix] = remaining
        else:
            self._by_tag_prefix.pop(endpoint.tag_prefix, None)


def _find_lowest_priorities(
    routes: Mapping[segments.RouteKey, Route],
) -> dict[ids.ServiceId, int]:
    lowest: dict[ids.ServiceId, int] = {}
    for route in routes.values():
        for service, _ in route.weighted_services:
            lowest[service] = max(
                route.priority, lowest.get(service, route.priority)
            )
    return lowest


def _find_goals(
    routes: Mapping[segments.RouteKey, Route],
) -> dict[ids.ServiceId, float]:
    goals_s: dict[ids.ServiceId, float] = {}
    for route in routes.values():
        for service, _ in route.weighted_services if route.goal_s else ():
            goals_s[service] = min(
                route.goal_s, goals_s.get(service, route.goal_s)
            )
    return goals_s


@functools.singledispatch
def _apply(change: object, view: View, now: float) -> bool:
    raise TypeError(type(change).__name__)


@_apply.register
def _(change: ListedEndpoint, view: View, now: float) -> bool:
    return view.add_endpoint(change.endpoint)


@_apply.register
def _(change: RemovedEndpoint, view: View, now: float) -> bool:
    return view.remove_endpoint(change.endpoint_id, now)


@_apply.register
def _(change: UnusableEndpoint, view: View, now: float) -> bool:
    return view.stop_placement(change.endpoint_id)


@_apply.register
def _(change: Configuration, view: View, now: float) -> bool:
    if change.version <= view.version:
        return False
    view.set_configuration(change, now)
    return True


@_apply.register
def _(change: DomainState, view: View, now: float) -> bool:
    if (change.domain in view.domains_out) == change.out:
        return False
    if change.out:
        view.domains_out.add(change.domain)
    else:
        view.domains_out.discard(change.domain)
    return True
