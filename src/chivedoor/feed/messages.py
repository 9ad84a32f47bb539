"""CBOR encoding of messages between balancers."""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import functools
import math
from typing import Any

import cbor2

from chivedoor import ids
from chivedoor.feed import compression
from chivedoor.feed import const
from chivedoor.feed import exceptions
from chivedoor.feed import load_reports
from chivedoor.feed import peers
from chivedoor.feed import records
from chivedoor.steering import delays
from chivedoor.steering import demand as demands

_HEARTBEAT = 1
_DISCOVERY_REQUEST = 2
_DISCOVERY_REPLY = 3
_LOAD_REPORT = 4
# Version of the stream between a reader and its subscribers. Either side closes
# a stream of another version, and the subscriber reads the store meanwhile.
_STREAM_VERSION = 2
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
# Rates in load reports are sent as integers in hundredths, and shares in
# ten-thousandths. Durations of handshakes are sent as floating-point numbers:
# a balancer may see less than half a millisecond of them a second, and whole
# milliseconds would add up to zero over a domain.
_RATE_SCALE = 100.0
_SHARE_SCALE = 10_000
# Added before a share is rounded down, since products of binary fractions may
# lie just below an integer.
_SHARE_EPSILON = 1e-6


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


Message = (
    peers.Heartbeat
    | DiscoveryRequest
    | DiscoveryReply
    | load_reports.LoadReport
)


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Frame:
    """Changes that a reader sends to its subscribers.

    Attributes:
        feed: The feed that the changes belong to.
        batch: The changes.
        age_s: Age of the reader's view when the frame was sent, in seconds.
        sent_at: Send time by the reader's clock, in seconds; comparable only
            with other frames of the same connection.
    """

    feed: records.Feed
    batch: records.Batch
    age_s: float
    sent_at: float


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class EncodedBatch:
    """A batch that is encoded once for many subscribers.

    Attributes:
        revision: As in the batch.
        complete: As in the batch.
        compressed: Whether the records are compressed.
        encoded_records: The records.
        digests: Digests of the large values among them, by key.
    """

    revision: records.Revision
    complete: bool
    compressed: bool
    encoded_records: bytes
    digests: Mapping[str, int]


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class SubscriptionRequest:
    """Request for the changes since the revisions that a subscriber has.

    Attributes:
        revisions: The revision of each feed.
        digests: Digests of the large values that the subscriber has, by key.
            They may be the base of differences.
    """

    revisions: Mapping[records.Feed, records.Revision]
    digests: Mapping[str, int]


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


@encode_message.register
def _(message: load_reports.LoadReport) -> bytes:
    return append_position(encode_load_report(message), message.position)


def encode_load_report(report: load_reports.LoadReport) -> bytes:
    """Encodes a report without its position, which is the last field.

    A candidate sends the same report to its whole domain, with a position for
    each recipient.
    """
    position = 0
    encoded = cbor2.dumps(
        [
            _LOAD_REPORT,
            report.vm,
            report.domain,
            report.host,
            int(report.scope),
            report.balancers,
            {
                service: _encode_rates(rates)
                for service, rates in report.demand.items()
            },
            {
                service: [_encode_rate(value) for value in capacity]
                for service, capacity in report.capacity.items()
            },
            {
                domain: [
                    _encode_rate(handshakes.number),
                    handshakes.duration_s * 1e3,
                ]
                for domain, handshakes in report.handshakes.items()
            },
            {
                service: [
                    _encode_rate(transfer.flows),
                    round(transfer.payload_bytes),
                ]
                for service, transfer in report.transfers.items()
            },
            {
                service: {
                    domain: _encode_share(share)
                    for domain, share in shares.items()
                }
                for service, shares in report.shares.items()
            },
            position,
        ]
    )
    return encoded[: -len(cbor2.dumps(position))]


def append_position(encoded: bytes, position: int) -> bytes:
    """Completes a report that `encode_load_report` returned."""
    return encoded + cbor2.dumps(position)


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
        case [int(kind), *values] if kind == _LOAD_REPORT:
            return _decode_load_report(values)
    raise exceptions.MalformedAnswerError("unknown message type")


def encode_batch(
    batch: records.Batch, bases: Mapping[str, bytes]
) -> EncodedBatch:
    """Encodes the records of a batch.

    Args:
        batch: The batch.
        bases: Large values that the subscriber has, by key.
    """
    encoded = cbor2.dumps(
        [
            [
                record.key,
                _encode_value(record.value, bases.get(record.key)),
                _encode_revision(record.revision),
            ]
            for record in batch.records
        ]
    )
    compressed = len(encoded) >= const.MIN_COMPRESSED_BYTES
    return EncodedBatch(
        digests={
            record.key: compression.compute_digest(record.value)
            for record in batch.records
            if record.value is not None
            and len(record.value) >= const.LARGE_VALUE_BYTES
        },
        revision=batch.revision,
        complete=batch.complete,
        compressed=compressed,
        encoded_records=compression.compress(encoded)
        if compressed
        else encoded,
    )


def encode_frame(
    feed: records.Feed, batch: EncodedBatch, *, age_s: float, sent_at: float
) -> bytes:
    """Encodes a frame with a length prefix; arguments as in `Frame`."""
    return _add_length(
        cbor2.dumps(
            [
                _STREAM_VERSION,
                feed.value,
                sent_at,
                age_s,
                _encode_revision(batch.revision),
                batch.complete,
                batch.compressed,
                batch.encoded_records,
            ]
        )
    )


def decode_frame(body: bytes, bases: Mapping[str, bytes]) -> Frame:
    """Decodes a frame without the length prefix.

    Args:
        body: The frame.
        bases: The large values that the reader knows this subscriber has, by
            key.

    Raises:
        MalformedAnswerError: The bytes are not a valid frame, or a difference
            refers to a value that is not among `bases`.
    """
    match _load(body):
        case [
            int(version),
            str(feed),
            float(sent_at),
            float(age_s),
            revision,
            bool(complete),
            bool(compressed),
            bytes(encoded_records),
        ] if version == _STREAM_VERSION:
            return Frame(
                feed=_decode_feed(feed),
                batch=records.Batch(
                    records=_decode_records(
                        compression.decompress(encoded_records)
                        if compressed
                        else encoded_records,
                        bases,
                    ),
                    revision=_decode_revision(revision),
                    complete=complete,
                ),
                age_s=age_s,
                sent_at=sent_at,
            )
    raise exceptions.MalformedAnswerError("invalid frame")


def encode_subscription(request: SubscriptionRequest) -> bytes:
    """Encodes a subscription with a length prefix."""
    return _add_length(
        cbor2.dumps(
            [
                _STREAM_VERSION,
                {
                    feed.value: _encode_revision(revision)
                    for feed, revision in request.revisions.items()
                },
                dict(request.digests),
            ]
        )
    )


def decode_subscription(body: bytes) -> SubscriptionRequest:
    """Decodes a subscription without the length prefix.

    Raises:
        MalformedAnswerError: The bytes are not a valid subscription.
    """
    match _load(body):
        case [int(version), dict(revisions), dict(digests)] if (
            version == _STREAM_VERSION
        ):
            if not all(
                type(key) is str and type(digest) is int
                for key, digest in digests.items()
            ):
                raise exceptions.MalformedAnswerError("digests")
            return SubscriptionRequest(
                revisions={
                    _decode_feed(feed): _decode_revision(revision)
                    for feed, revision in revisions.items()
                },
                digests=digests,
            )
    raise exceptions.MalformedAnswerError("invalid subscription")


def _add_length(body: bytes) -> bytes:
    return len(body).to_bytes(const.FRAME_HEADER_BYTES, "big") + body


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


def _encode_rate(rate: float) -> int:
    return round(rate * _RATE_SCALE)


def _encode_rates(rates: Mapping[int, float]) -> dict[int, int]:
    return {priority: _encode_rate(rate) for priority, rate in rates.items()}


def _encode_share(share: float) -> int:
    """Rounds down, so that the shares of a service never exceed 1."""
    return math.floor(share * _SHARE_SCALE + _SHARE_EPSILON)


def _decode_load_report(values: list[Any]) -> load_reports.LoadReport:
    match values:
        case [
            str(vm),
            str(domain),
            str(host),
            scope,
            balancers,
            demand,
            capacity,
            handshakes,
            transfers,
            shares,
            position,
        ]:
            return load_reports.LoadReport(
                vm=ids.VmId(vm),
                domain=ids.DomainId(domain),
                host=host,
                scope=_decode_scope(scope),
                balancers=_decode_count(balancers),
                demand=_decode_map(
                    demand,
                    ids.ServiceId,
                    lambda rates: _decode_map(
                        rates, _decode_count, _decode_rate
                    ),
                ),
                capacity=_decode_map(
                    capacity,
                    ids.ServiceId,
                    lambda pair: demands.Capacity(
                        *_decode_pair(pair, _decode_rate, _decode_rate)
                    ),
                ),
                handshakes=_decode_map(
                    handshakes,
                    ids.DomainId,
                    lambda pair: demands.Handshakes(
                        *_decode_pair(pair, _decode_rate, _decode_duration)
                    ),
                ),
                transfers=_decode_map(
                    transfers,
                    ids.ServiceId,
                    lambda pair: demands.Transfer(
                        *_decode_pair(pair, _decode_rate, _decode_count)
                    ),
                ),
                shares=_decode_map(shares, ids.ServiceId, _decode_shares),
                position=_decode_count(position),
            )
    raise exceptions.MalformedAnswerError("load report")


def _decode_map(
    value: Any, decode_key: Callable[[Any], Any], decode: Callable[[Any], Any]
) -> dict[Any, Any]:
    """Decodes a map; keys are strings unless they are counts."""
    expected = int if decode_key is _decode_count else str
    if type(value) is not dict or not all(
        type(key) is expected for key in value
    ):
        raise exceptions.MalformedAnswerError("load report")
    return {decode_key(key): decode(item) for key, item in value.items()}


def _decode_pair(
    value: Any,
    decode_first: Callable[[Any], float],
    decode_second: Callable[[Any], float],
) -> tuple[float, float]:
    match value:
        case [first, second]:
            return decode_first(first), decode_second(second)
    raise exceptions.MalformedAnswerError("load report")


def _decode_count(value: Any) -> int:
    if type(value) is int and 0 <= value <= const.MAX_LOAD_REPORT_VALUE:
        return value
    raise exceptions.MalformedAnswerError("load report")


def _decode_rate(value: Any) -> float:
    return _decode_count(value) / _RATE_SCALE


def _decode_duration(value: Any) -> float:
    # The comparison is false for a value that is not a number.
    if type(value) is float and 0.0 <= value <= const.MAX_LOAD_REPORT_VALUE:
        return value / 1e3
    raise exceptions.MalformedAnswerError("handshakes")


def _decode_scope(value: Any) -> load_reports.Scope:
    try:
        return load_reports.Scope(_decode_count(value))
    except ValueError as error:
        raise exceptions.MalformedAnswerError("scope") from error


def _decode_shares(value: Any) -> dict[ids.DomainId, float]:
    counts = _decode_map(value, ids.DomainId, _decode_count)
    if sum(counts.values()) > _SHARE_SCALE:
        raise exceptions.MalformedAnswerError("shares")
    return {domain: count / _SHARE_SCALE for domain, count in counts.items()}


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


def _decode_feed(value: Any) -> records.Feed:
    try:
        return records.Feed(value)
    except ValueError as error:
        raise exceptions.MalformedAnswerError("feed") from error


def _decode_records(
    encoded: bytes, bases: Mapping[str, bytes]
) -> tuple[records.Record, ...]:
    items = _load(encoded)
    if type(items) is not list:
        raise exceptions.MalformedAnswerError("records")
    return tuple(_decode_record(item, bases) for item in items)


def _decode_record(value: Any, bases: Mapping[str, bytes]) -> records.Record:
    match value:
        case [str(key), content, revision]:
            return records.Record(
                key=key,
                value=_decode_value(content, bases.get(key)),
                revision=_decode_revision(revision),
            )
    raise exceptions.MalformedAnswerError("record")


def _encode_value(value: bytes | None, base: bytes | None) -> Any:
    if value is None or base is None or len(value) < const.LARGE_VALUE_BYTES:
        return value
    return [compression.compute_digest(base), compression.compress(value, base)]


def _decode_value(value: Any, base: bytes | None) -> bytes | None:
    match value:
        case bytes() | None:
            return value
        case [int(digest), bytes(difference)] if (
            base is not None and compression.compute_digest(base) == digest
        ):
            return compression.decompress(difference, base)
    raise exceptions.MalformedAnswerError("value")


def _encode_revision(revision: records.Revision) -> list[int]:
    return [revision.era, revision.number]


def _decode_revision(value: Any) -> records.Revision:
    match value:
        case [era, number] if type(era) is int and type(number) is int:
            return records.Revision(era=ids.Era(era), number=number)
    raise exceptions.MalformedAnswerError("revision")
