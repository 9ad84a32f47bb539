"""Encoding of member records for gossip."""

import dataclasses
import ipaddress
from typing import Any

import cbor2

from chivedoor import ids
from chivedoor.membership import const
from chivedoor.membership import exceptions
from chivedoor.membership import members

_STATE_FIELD_COUNT = 5
_RECORD_FIELD_COUNT = 11
_MAX_NAME_BYTES = 64
_PORT_LIMIT = 1 << 16


def encode_state(member: members.Member) -> bytes:
    """Encodes the state of a member for peers that know its other fields."""
    return cbor2.dumps(_build_state_fields(member))


def encode_record(member: members.Member) -> bytes:
    """Encodes the complete record of a member."""
    address = ipaddress.ip_address(member.address).packed
    return cbor2.dumps(
        [
            *_build_state_fields(member),
            member.domain,
            member.region,
            address,
            member.peer_port,
            member.gossip_port,
            member.channel_port,
        ]
    )


def decode_update(fields: Any, table: members.Members) -> members.Member | None:
    """Builds a member from a decoded state or record.

    Args:
        fields: The decoded CBOR value.
        table: Provides the fields that a state does not contain.

    Returns:
        The member, or None for the state of an unknown member.

    Raises:
        MemberRecordError: The value is malformed.
    """
    if not isinstance(fields, list):
        raise exceptions.MemberRecordError("a member record is not an array")
    if len(fields) == _STATE_FIELD_COUNT:
        return _apply_state(fields, table)
    if len(fields) == _RECORD_FIELD_COUNT:
        return _parse_record(fields)
    raise exceptions.MemberRecordError(
        f"a member record has {len(fields)} fields, which matches no format"
    )


def _build_state_fields(member: members.Member) -> list[Any]:
    return [
        member.id,
        member.incarnation,
        member.sequence,
        int(member.state),
        int(member.role),
    ]


def _apply_state(
    fields: list[Any], table: members.Members
) -> members.Member | None:
    state_fields = _parse_state_fields(fields)
    known = table.get(state_fields["id"])
    return known and dataclasses.replace(known, **state_fields)


def _parse_record(fields: list[Any]) -> members.Member:
    domain, region, address, peer, gossip, channel = fields[_STATE_FIELD_COUNT:]
    return members.Member(
        **_parse_state_fields(fields),
        domain=ids.DomainId(_check_name(domain)),
        region=ids.RegionId(_check_name(region)),
        address=_check_address(address),
        peer_port=_check_number(peer, _PORT_LIMIT),
        gossip_port=_check_number(gossip, _PORT_LIMIT),
        channel_port=_check_number(channel, _PORT_LIMIT),
    )


def _parse_state_fields(fields: list[Any]) -> dict[str, Any]:
    member_id, incarnation, sequence, state, role = fields[:_STATE_FIELD_COUNT]
    parsed = _check_state(state)
    is_announced = parsed < members.MemberState.SUSPECT
    return {
        "id": ids.VmId(_check_name(member_id)),
        "incarnation": ids.Incarnation(
            _check_number(incarnation, const.INCARNATION_LIMIT)
        ),
        "sequence": _check_number(sequence, const.INCARNATION_LIMIT),
        "state": parsed,
        "former_state": None if is_announced else _check_role(role),
    }


def _check_name(value: Any) -> str:
    if not isinstance(value, str):
        raise exceptions.MemberRecordError("a name is not a text string")
    if not 0 < len(value.encode()) <= _MAX_NAME_BYTES:
        raise exceptions.MemberRecordError("a name is empty or too long")
    return value


def _check_number(value: Any, limit: int) -> int:
    if type(value) is not int or not 0 <= value < limit:
        raise exceptions.MemberRecordError("a number is out of range")
    return value


def _check_state(value: Any) -> members.MemberState:
    if type(value) is not int:
        raise exceptions.MemberRecordError("a member state is not an integer")
    try:
        return members.MemberState(value)
    except ValueError as error:
        raise exceptions.MemberRecordError("unknown member state") from error


def _check_role(value: Any) -> members.MemberState:
    role = _check_state(value)
    if role >= members.MemberState.SUSPECT:
        raise exceptions.MemberRecordError(
            "a role is not a state that members announce"
        )
    return role


def _check_address(value: Any) -> str:
    if not isinstance(value, bytes):
        raise exceptions.MemberRecordError("an address is not a byte string")
    try:
        return str(ipaddress.ip_address(value))
    except ValueError as error:
        raise exceptions.MemberRecordError("malformed address") from error
