"""Fixtures of the membership tests."""

from collections.abc import Callable

import pytest

from chivedoor.membership import members as members_module


@pytest.fixture
def build_member() -> Callable[..., members_module.Member]:
    def build(
        member_id: str,
        *,
        state: members_module.MemberState = members_module.MemberState.ACTIVE,
        incarnation: int = 1,
    ) -> members_module.Member:
        return members_module.Member(
            id=member_id,
            domain="zone-1",
            region="region-1",
            address="127.0.0.1",
            peer_port=1,
            gossip_port=2,
            channel_port=3,
            incarnation=incarnation,
            state=state,
        )

    return build


@pytest.fixture
def members(build_member) -> members_module.Members:
    return members_module.Members(local=build_member("a"))
