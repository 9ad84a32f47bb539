"""Log events as typed classes.

The schema of an event consists of its `message_type`, level and fields.
`EVENTS` maps each message type to its class. Fields must not contain keys,
payloads or addresses of callers.
"""

from collections.abc import Callable
import dataclasses
import enum
from typing import Any
from typing import ClassVar


class Level(enum.Enum):
    """Severity of an event."""

    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class Event:
    """Base class of all log events.

    Attributes:
        message_type: Name of the event in the log.
        level: Severity of the event in the log.
    """

    __slots__ = ()

    message_type: ClassVar[str]
    level: ClassVar[Level]


EVENTS: dict[str, type[Event]] = {}


def _register_event(
    message_type: str, level: Level
) -> Callable[[type[Any]], type[Any]]:
    """Makes a class a frozen dataclass and registers it in `EVENTS`."""

    def register(event_type: type[Any]) -> type[Any]:
        event_type.message_type = message_type
        event_type.level = level
        make_dataclass = dataclasses.dataclass(
            frozen=True, slots=True, kw_only=True
        )
        EVENTS[message_type] = make_dataclass(event_type)
        return EVENTS[message_type]

    return register


@_register_event("daemon-started", Level.INFO)
class DaemonStarted(Event):
    """The daemon started and opened all its ports."""

    version: str
    incarnation: int


@_register_event("daemon-leaving", Level.INFO)
class DaemonLeaving(Event):
    """A planned stop began; the replicas take over the owned targets."""

    targets_owned: int


@_register_event("daemon-stopped", Level.INFO)
class DaemonStopped(Event):
    """The daemon stopped and closed all its ports."""

    waited_s: float


@_register_event("settings-rejected", Level.ERROR)
class SettingsRejected(Event):
    """The settings file is invalid; the daemon does not start."""

    path: str
    faults: list[str]


@_register_event("state-changed", Level.INFO)
class StateChanged(Event):
    """The member state of this balancer changed."""

    before: str
    after: str


@_register_event("pause-detected", Level.WARNING)
class PauseDetected(Event):
    """The event loop did not run for over 1 s; the balancer rejoins."""

    pause_s: float
    discarded_packets: int


@_register_event("pull-completed", Level.INFO)
class PullCompleted(Event):
    """The records of a target were pulled from another balancer."""

    endpoint: int
    member: str
    records: int


@_register_event("pull-failed", Level.WARNING)
class PullFailed(Event):
    """Pulling the records of a target failed and will be retried."""

    endpoint: int
    member: str
    error: str


@_register_event("document-accepted", Level.INFO)
class DocumentAccepted(Event):
    """A new document was accepted and applied."""

    document_version: int
    source: str
    services: int
    endpoints: int


@_register_event("document-rejected", Level.ERROR)
class DocumentRejected(Event):
    """A document is invalid; the current one stays in use."""

    document_version: int
    source: str
    faults: list[str]


@_register_event("document-older", Level.WARNING)
class DocumentOlder(Event):
    """A document older than the current one was ignored."""

    document_version: int
    source: str


@_register_event("confirmation-expired", Level.ERROR)
class ConfirmationExpired(Event):
    """The document is unconfirmed past the reuse delay; no target is served."""

    document_version: int
    confirmed_age_s: float


@_register_event("platform-lost", Level.WARNING)
class PlatformLost(Event):
    """The platform service does not respond."""

    error: str


@_register_event("platform-found", Level.INFO)
class PlatformFound(Event):
    """The platform service responds again."""

    lost_s: float


@_register_event("member-changed", Level.INFO)
class MemberChanged(Event):
    """Another balancer's state changed in this balancer's view."""

    member: str
    member_domain: str
    before: str
    after: str


@_register_event("domain-changed", Level.WARNING)
class DomainChanged(Event):
    """A failure domain was taken out or brought back."""

    changed_domain: str
    out: bool
    origin: str


@_register_event("target-owned", Level.INFO)
class TargetOwned(Event):
    """This balancer became the owner of a target."""

    endpoint: int
    records: int


@_register_event("target-released", Level.INFO)
class TargetReleased(Event):
    """This balancer stopped being the owner of a target."""

    endpoint: int
    member: str


@_register_event("target-cold", Level.WARNING)
class TargetCold(Event):
    """A target is cold; its limits ramp up from the initial ones."""

    endpoint: int
    reason: str


@_register_event("target-health-changed", Level.WARNING)
class TargetHealthChanged(Event):
    """The health estimate of a target changed."""

    endpoint: int
    before: str
    after: str


@_register_event("flow-silent", Level.WARNING)
class FlowSilent(Event):
    """No balancer saw a reply packet for a flow; both ends are reset."""

    endpoint: int
    silent_s: float


@_register_event("peer-unreachable", Level.WARNING)
class PeerUnreachable(Event):
    """A request to another balancer failed."""

    member: str
    error: str


@_register_event("authentication-failed", Level.WARNING)
class AuthenticationFailed(Event):
    """A client without a valid key connected to a control port."""

    interface: str
    fault: str


@_register_event("message-rejected", Level.WARNING)
class MessageRejected(Event):
    """An authenticated message does not match its declared type."""

    interface: str
    fault: str


@_register_event("handler-failed", Level.ERROR)
class HandlerFailed(Event):
    """A request handler raised an exception; the request was refused."""

    interface: str
    error: str


@_register_event("task-failed", Level.ERROR)
class TaskFailed(Event):
    """A periodic task raised an exception and is restarted."""

    task: str
    error: str


@_register_event("operator-command", Level.WARNING)
class OperatorCommand(Event):
    """An operator executed a command that changes the state."""

    command: str
    argument: str


@_register_event("budget-exceeded", Level.WARNING)
class BudgetExceeded(Event):
    """Control traffic was dropped because its byte budget is exhausted."""

    traffic_class: str
    dropped_bytes: int


@_register_event("table-full", Level.WARNING)
class TableFull(Event):
    """A bounded table is full; new entries are refused."""

    table: str
    capacity: int


@_register_event("events-suppressed", Level.WARNING)
class EventsSuppressed(Event):
    """Events of one type were dropped by a rate limit or a full queue."""

    suppressed_type: str
    count: int
