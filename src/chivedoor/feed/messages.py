"""CBOR encoding of messages between balancers."""

import dataclasses
import functools
from typing import Any

import cbor2

from chivedoor import ids
from chivedoor.feed import const
from chivedoor.feed import exceptions
from chivedoor.feed import peers
from chivedoor.feed import records
from chivedoor.steering import delays

_HEARTBEAT = 1
_DISCOVERY_REQUEST = 2
_DISCOVERY_REPLY = 3
_HEARTBEAT_FIELDS = tuple(
    field.name for field in dataclasses.fields(peers.Heartbeat)
)
_DELAYS_INDEX = _HEARTBEAT_FIELDS.index("delays")
# In the order of the fields. `read_age_s` may also be None.
_HEARTBEAT_TYPES = (
    str,
    str,
    str,
    int,
    float,
    float,
    int,
    bool,
    dict,
    bool,
    dict,
    dict,
    dict,
    dict,
)
# Delay sums are sent as integers: requests in hundredths, seconds in
# milliseconds, and square seconds in units of 1e-4 s^2.
_DELAY_SCALES = {
    "requests": 100.0,
    "delay_s": 1e3,
    "slow_delay_s": 1e3,
    "squared_delay_s2": 1e4,
    "weighted_load_s": 1e3,
}
# Upper limit for a received sum, well above that of any domain.
_MAX_DELAY_SUM = 1 << 40


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class DiscoveryRequest:
    """Request for the balancers of the sender's domain.

    Attributes:
        sender: The requesting balancer.
    """

    sender: peers.PeerAddress


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class DiscoveryReply:
    """Reply to a discovery request.

    Attributes:
        peers: The known balancers of the requester's domain and the sender.
    """

    peers: tuple[peers.PeerAddress, ...]


Message = peers.Heartbeat | DiscoveryRequest | DiscoveryReply


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Frame:
    """Changes that a reader sends to its subscribers.

    Attributes:
        batch: The changes.
        age_s: Age of the reader's view when the frame was sent, in seconds.
        sent_at: Send time by the reader's clock, in seconds; comparable only
            with other frames of the same connection.
    """

    batch: records.Batch
    age_s: float
    sent_at: float


@functools.singledispatch
def encode_message(message: Message) -> bytes:
    """Encodes a message as a datagram."""
    raise TypeError(type(message).__name__)


@encode_message.register
def _(message: peers.Heartbeat) -> bytes:
    values = [getattr(message, name) for name in _HEARTBEAT_FIELDS]
    values[_DELAYS_INDEX] = {
        endpoint_id: _encode_delays(sums)
        for endpoint_id, sums in message.delays.items()
    }
    return cbor2.dumps([_HEARTBEAT, *values])


@encode_message.register
def _(message: DiscoveryRequest) -> bytes:
    return cbor2.dumps([_DISCOVERY_REQUEST, _encode_address(message.sender)])


@encode_message.register
def _(message: DiscoveryReply) -> bytes:
    return cbor2.dumps(
        [
            _DISCOVERY_REPLY,
            [_encode_address(address) for address in message.peers],
        ]
    )


def decode_message(data: bytes) -> Message:
    """Decodes a datagram.

    Raises:
        MalformedAnswerError: The datagram is not a valid message.
    """
    match _load(data):
        case [int(kind), *values] if kind == _HEARTBEAT:
            return _decode_heartbeat(values)
        case [int(kind), sender] if kind == _DISCOVERY_REQUEST:
            return DiscoveryRequest(sender=_decode_address(sender))
        case [int(kind), list(addresses)] if kind == _DISCOVERY_REPLY:
            return DiscoveryReply(peers=tuple(map(_decode_address, addresses)))
    raise exceptions.MalformedAnswerError("unknown message type")


def encode_frame(frame: Frame) -> bytes:
    """Encodes a frame with a length prefix."""
    batch = frame.batch
    body = cbor2.dumps(
        [
            frame.sent_at,
            frame.age_s,
            _encode_revision(batch.revision),
            batch.complete,
            [
                [
                    record.key,
                    record.value,
                    _encode_revision(record.revision),
                ]
                for record in batch.records
            ],
        ]
    )
    return len(body).to_bytes(const.FRAME_HEADER_BYTES, "big") + body


def decode_frame(body: bytes) -> Frame:
    """Decodes a frame without the length prefix.

    Raises:
        MalformedAnswerError: The bytes are not a valid frame.
    """
    match _load(body):
        case [
            float(sent_at),
            float(age_s),
            revision,
            bool(complete),
            list(items),
        ]:
            return Frame(
                batch=records.Batch(
                    records=tuple(map(_decode_record, items)),
                    revision=_decode_revision(revision),
                    complete=complete,
                ),
                age_s=age_s,
                sent_at=sent_at,
            )
    raise exceptions.MalformedAnswerError("invalid frame")


def encode_subscription(revision: records.Revision) -> bytes:
    """Encodes a subscription to the changes after a revision."""
    body = cbor2.dumps(_encode_revision(revision))
    return len(body).to_bytes(const.FRAME_HEADER_BYTES, "big") + body


def decode_subscription(body: bytes) -> records.Revision:
    """Decodes the revision of a subscription.

    Raises:
        MalformedAnswerError: The bytes are not a valid revision.
    """
    return _decode_revision(_load(body))


def _load(data: bytes) -> Any:
    try:
        return cbor2.loads(data)
    except (cbor2.CBORError, ValueError, TypeError, RecursionError) as error:
        raise exceptions.MalformedAnswerError("invalid CBOR") from error


def _decode_heartbeat(values: list[Any]) -> peers.Heartbeat:
    if len(values) != len(_HEARTBEAT_FIELDS):
        raise exceptions.MalformedAnswerError("greeting")
    for name, value, expected in zip(
        _HEARTBEAT_FIELDS, values, _HEARTBEAT_TYPES, strict=True
    ):
        if value is None and name == "read_age_s":
            continue
        if type(value) is not expected:
            raise exceptions.MalformedAnswerError(name)
    for name in ("in_flight", "suspects", "stalled"):
        counts = values[_HEARTBEAT_FIELDS.index(name)]
        if not all(
            type(key) is str and type(count) is int
            for key, count in counts.items()
        ):
            raise exceptions.MalformedAnswerError(name)
    refusals = values[_HEARTBEAT_FIELDS.index("refusals")]
    if not all(map(_is_refusal, refusals.items())):
        raise exceptions.MalformedAnswerError("refusals")
    values[_DELAYS_INDEX] = dict(
        map(_decode_delays, values[_DELAYS_INDEX].items())
    )
    return peers.Heartbeat(**dict(zip(_HEARTBEAT_FIELDS, values, strict=True)))


def _is_refusal(item: tuple[Any, Any]) -> bool:
    match item:
        case [str(), [incarnation, age_ms]]:
            return type(incarnation) is int and type(age_ms) is int
    return False


def _encode_delays(sums: delays.DelaySums) -> list[int]:
    return [
        round(getattr(sums, name) * scale)
        for name, scale in _DELAY_SCALES.items()
    ]


def _decode_delays(
    item: tuple[Any, Any],
) -> tuple[ids.EndpointId, delays.DelaySums]:
    match item:
        case [str(endpoint_id), list(values)] if len(values) == len(
            _DELAY_SCALES
        ):
            if not all(
                type(value) is int and 0 <= value <= _MAX_DELAY_SUM
                for value in values
            ):
                raise exceptions.MalformedAnswerError("delays")
            return ids.EndpointId(endpoint_id), delays.DelaySums(
                **{
                    name: value / scale
                    for (name, scale), value in zip(
                        _DELAY_SCALES.items(), values, strict=True
                    )
                }
            )
    raise exceptions.MalformedAnswerError("delays")


def _encode_address(address: peers.PeerAddress) -> list[Any]:
    return [
        address.vm,
        address.domain,
        address.host,
        float(address.bandwidth_mbps),
    ]


def _decode_address(value: Any) -> peers.PeerAddress:
    match value:
        case [str(vm), str(domain), str(host), float(bandwidth_mbps)]:
            return peers.PeerAddress(
                vm=ids.VmId(vm),
                domain=ids.DomainId(domain),
                host=host,
                bandwidth_mbps=bandwidth_mbps,
            )
    raise exceptions.MalformedAnswerError("name")


def _decode_record(value: Any) -> records.Record:
    match value:
        case [str(key), bytes() | None as content, revision]:
            return records.Record(
                key=key, value=content, revision=_decode_revision(revision)
            )
    raise exceptions.MalformedAnswerError("record")


def _encode_revision(revision: records.Revision) -> list[int]:
    return [revision.era, revision.number]


def _decode_revision(value: Any) -> records.Revision:
    match value:
        case [era, number] if type(era) is int and type(number) is int:
            return records.Revision(era=ids.Era(era), number=number)
    raise exceptions.MalformedAnswerError("revision")
