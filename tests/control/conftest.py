"""Channels on the loopback."""

from collections.abc import AsyncIterator
from typing import Any

import pytest

from chivedoor.control import channel

KEY = bytes(range(32))


class Fleet:
    """Channels that know each other's ports."""

    def __init__(self) -> None:
        self.key = KEY
        self.locations: dict[str, tuple[str, int]] = {}
        self._channels: list[channel.Channel] = []

    async def async_add(
        self, member_id: str, *keys: bytes, **options: Any
    ) -> channel.Channel:
        member = channel.Channel(
            local_id=member_id,
            address="127.0.0.1",
            port=0,
            keys=keys or [KEY],
            resolve=self.locations.__getitem__,
            **options,
        )
        await member.async_open()
        self.locations[member_id] = ("127.0.0.1", member.port)
        self._channels.append(member)
        return member

    async def async_close(self) -> None:
        for member in self._channels:
            await member.async_close()


@pytest.fixture
async def fleet() -> AsyncIterator[Fleet]:
    members = Fleet()
    yield members
    await members.async_close()
