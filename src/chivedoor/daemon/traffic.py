"""Packet I/O between the sockets and the balancer."""

import asyncio
import collections
from collections.abc import Callable
import enum
import functools

from chivedoor import ids
from chivedoor.balancer import actions
from chivedoor.balancer import balancer as balancers
from chivedoor.configuration import settings as settings_module
from chivedoor.daemon import const
from chivedoor.dataplane import encapsulation
from chivedoor.dataplane import exceptions as packet_errors
from chivedoor.dataplane import port as ports

Clock = Callable[[], float]


class Traffic:
    """Passes received packets to the balancer and performs its actions.

    Also detects pauses of the event loop by a heartbeat.
    """

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        balancer: balancers.Balancer,
        keys: encapsulation.Keys,
        clock: Clock,
        handle_pause: Callable[[float], None],
    ) -> None:
        self.counters: collections.Counter[str] = collections.Counter()
        self._balancer = balancer
        self._keys = keys
        self._clock = clock
        self._handle_pause = handle_pause
        self._fabric = (settings.fabric.address, settings.fabric.port)
        self._last_heartbeat_at_s = clock()
        self._heartbeat: asyncio.TimerHandle | None = None
        self.last_packet_at_s = clock()
        self.max_loop_delay_s = 0.0
        self._fabric_port = ports.PacketPort(
            address=settings.vm.address,
            port=settings.vm.packet_port,
            handle_batch=self._handle_fabric_batch,
        )
        self._peer_port = ports.PacketPort(
            address=settings.vm.address,
            port=settings.vm.peer_port,
            handle_batch=self._handle_peer_batch,
        )
        self.perform = functools.singledispatch(self._reject_action)
        self.perform.register(actions.Deliver, self._deliver)
        self.perform.register(actions.Forward, self._forward)
        self.perform.register(actions.Drop, self._drop)
        self.perform.register(actions.Refuse, self._refuse)
        self.perform.register(actions.Abort, self._abort)

    async def async_open(self) -> None:
        """Opens both sockets and starts the event loop heartbeat."""
        self._run_heartbeat()
        await self._fabric_port.async_open()
        await self._peer_port.async_open()

    async def async_close(self) -> None:
        """Stops the heartbeat and closes both sockets."""
        if self._heartbeat is not None:
            self._heartbeat.cancel()
            self._heartbeat = None
        await self._fabric_port.async_close()
        await self._peer_port.async_close()

    def discard_waiting(self) -> int:
        """Empties both socket buffers.

        Returns:
            The number of discarded packets.
        """
        discarded = (
            self._fabric_port.discard_waiting()
            + self._peer_port.discard_waiting()
        )
        self.counters["discarded_after_pause"] += discarded
        return discarded

    def _run_heartbeat(self) -> None:
        delay_s = (
            self._clock()
            - self._last_heartbeat_at_s
            - const.HEARTBEAT_INTERVAL_S
        )
        self._balancer.context.is_loop_late = (
            delay_s > const.LOOP_DELAY_THRESHOLD_S
        )
        self.max_loop_delay_s = max(self.max_loop_delay_s, delay_s)
        self._check_pause()
        loop = asyncio.get_running_loop()
        self._heartbeat = loop.call_later(
            const.HEARTBEAT_INTERVAL_S, self._run_heartbeat
        )

    def _check_pause(self) -> bool:
        """Handles a pause of the event loop that has just ended.

        Returns:
            Whether there was one.
        """
        now = self._clock()
        gap_s = now - self._last_heartbeat_at_s
        self._last_heartbeat_at_s = now
        if gap_s <= const.PAUSE_THRESHOLD_S:
            return False
        self._handle_pause(gap_s)
        return True

    def _handle_fabric_batch(self, batch: list[memoryview]) -> None:
        # After a pause the socket may be handled before the heartbeat, and
        # its packets may have been waiting for the whole pause.
        if self._check_pause():
            self.counters["discarded_after_pause"] += len(batch)
            return
        now = self._clock()
        self.last_packet_at_s = now
        self.counters["fabric_packets"] += len(batch)
        for data in batch:
            for action in self._balancer.handle_packet(data, now):
                self.perform(action)

    def _handle_peer_batch(self, batch: list[memoryview]) -> None:
        if self._check_pause():
            self.counters["discarded_after_pause"] += len(batch)
            return
        now = self._clock()
        self.counters["peer_packets"] += len(batch)
        for datagram in batch:
            try:
                header, data = encapsulation.open_packet(datagram, self._keys)
            except packet_errors.EncapsulationError as error:
                self._count_reason("peer_fault", error.fault)
                continue
            self.counters[f"received_{header.kind.name.lower()}"] += 1
            for action in self._balancer.handle_forwarded(header, data, now):
                self.perform(action)

    def _reject_action(self, action: object) -> None:
        raise TypeError(type(action))

    def _deliver(self, action: actions.Deliver) -> None:
        self.counters["delivered"] += 1
        self._fabric_port.send(action.data, self._fabric)

    def _forward(self, action: actions.Forward) -> None:
        member = self._balancer.context.members.get(ids.VmId(action.member))
        if member is None:
            self.counters["forward_unknown_member"] += 1
            return
        datagram = encapsulation.seal_packet(
            action.header, action.data, self._keys
        )
        self.counters[f"sent_{action.header.kind.name.lower()}"] += 1
        self.counters["forwarded_bytes"] += len(datagram)
        self._peer_port.send(datagram, (member.address, member.peer_port))

    def _drop(self, action: actions.Drop) -> None:
        self._count_reason("drop", action.reason)

    def _refuse(self, action: actions.Refuse) -> None:
        self._count_reason("refusal", action.reason)
        self._fabric_port.send(action.data, self._fabric)

    def _abort(self, action: actions.Abort) -> None:
        self._count_reason("aborted", action.reason)
        self._fabric_port.send(action.data, self._fabric)

    def _count_reason(self, name: str, reason: enum.Enum) -> None:
        self.counters[f"{name}_{reason.value}"] += 1
