"""Messages of the failure detector."""

import dataclasses

from chivedoor import ids


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ping:
    """Requests an `Ack` with the same probe number from the recipient."""

    sender: ids.VmId
    probe: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PingRequest:
    """Asks the recipient to ping the target on behalf of the sender."""

    sender: ids.VmId
    probe: int
    target: ids.VmId


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ack:
    """Answers a `Ping`, directly or through the relay that sent it."""

    sender: ids.VmId
    probe: int


Message = Ping | PingRequest | Ack


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outgoing:
    """A message and its recipient."""

    recipient: ids.VmId
    message: Message
