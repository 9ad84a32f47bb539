"""Tests of the reports of a shortage to logs and metrics."""

import dataclasses
import random

from chivedoor import ids
from chivedoor.steering import observer
from chivedoor.steering import shortage
from chivedoor.steering import steerer as steerers
from chivedoor.steering import verdicts
from chivedoor.steering import view as views
from tests.steering import conftest

BALANCERS = 20
FLOWS = 60


class Observer(observer.NullObserver):
    """Records the beginning and the end of shortages."""

    def __init__(self) -> None:
        self.events: list[tuple[str, observer.ServiceLoad]] = []

    def on_shortage_begun(
        self, service: ids.ServiceId, load: observer.ServiceLoad
    ) -> None:
        self.events.append(("begun", load))

    def on_shortage_ended(
        self, service: ids.ServiceId, load: observer.ServiceLoad
    ) -> None:
        self.events.append(("ended", load))


def make_short_steerer(events: Observer) -> steerers.Steerer:
    """Returns a steerer of a large domain with one endpoint of 4 slots."""
    steerer = steerers.Steerer(
        local=ids.VmId("vm-1"),
        domain=ids.DomainId("a"),
        generator=random.Random(1),
        observer=events,
    )
    configuration = conftest.make_configuration()
    route = dataclasses.replace(
        configuration.routes[conftest.ROUTE], goal_s=0.1, priority=2
    )
    steerer.view.apply(
        dataclasses.replace(configuration, routes={conftest.ROUTE: route}), 0.0
    )
    endpoint = conftest.make_endpoint(1)
    steerer.view.apply(views.ListedEndpoint(endpoint=endpoint), 0.0)
    steerer.set_view_complete_at(0.0)
    steerer.confirm_view(0.0)
    steerer.shortage.set_members(
        shortage.Members(counts={ids.DomainId("a"): BALANCERS}, position=0)
    )
    # A request takes long already, as in the beginning of a slowdown.
    steerer.shortage.set_waiting(True)
    return steerer


def open_flows(steerer: steerers.Steerer, now: float) -> list[verdicts.Verdict]:
    return [
        steerer.decide(conftest.make_opening(conftest.make_flow(number)), now)
        for number in range(FLOWS)
    ]


def test_refusal_names_route_priority_and_shortage() -> None:
    """Guards against refusals whose cause cannot be found in the log."""
    steerer = make_short_steerer(Observer())
    refusals = [
        verdict
        for verdict in open_flows(steerer, 0.5)
        if isinstance(verdict, verdicts.Refuse)
    ]
    assert refusals
    assert refusals[-1].service == conftest.SERVICE
    context = refusals[-1].context
    assert context is not None
    assert (context.route, context.priority, context.short) == ("r", 2, True)


def test_shortage_is_reported_once_with_its_end() -> None:
    """Guards against a line for each flow, and against a missing end."""
    events = Observer()
    steerer = make_short_steerer(events)
    open_flows(steerer, 0.5)
    open_flows(steerer, 1.0)
    steerer.expire(1.0)
    assert [name for name, _ in events.events] == ["begun"]
    assert steerer.shortage.list_short(1.0) == [conftest.SERVICE]
    steerer.expire(3.0)
    steerer.expire(4.0)
    assert [name for name, _ in events.events] == ["begun", "ended"]
    load = events.events[-1][1]
    assert load.in_flight > load.share
    assert load.limit > 0.0


def test_interruption_of_a_shortage_is_not_reported() -> None:
    """Guards against more than one pair of lines a second and service."""
    events = Observer()
    steerer = make_short_steerer(events)
    open_flows(steerer, 0.5)
    open_flows(steerer, 2.0)
    steerer.expire(2.0)
    assert [name for name, _ in events.events] == ["begun"]
