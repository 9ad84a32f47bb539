"""Detection of flows whose targets no longer answer."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import random
from typing import Any

from chivedoor import exceptions as base_exceptions
from chivedoor import ids
from chivedoor.balancer import actions
from chivedoor.balancer import balancer as balancers
from chivedoor.balancer import const as balancer_const
from chivedoor.balancer import silence
from chivedoor.control import channel as channels
from chivedoor.control import messages
from chivedoor.daemon import const
from chivedoor.daemon import traffic
from chivedoor.telemetry import events
from chivedoor.telemetry import logs as logs_module


class SilenceChecker:
    """Checks suspected flows with other balancers and aborts silent ones.

    A check has two rounds. The first round asks balancers to observe the
    flow for packets from the target, and ends when they have replied. If the
    caller then retransmits its data again, the second round asks the same
    balancers whether they have seen such packets.
    """

    def __init__(
        self,
        *,
        balancer: balancers.Balancer,
        channel: channels.Channel,
        clock: traffic.Clock,
        rng: random.Random,
        perform: Callable[[actions.Action], None],
        logs: logs_module.Logs,
        reply_delay_s: float = balancer_const.OBSERVATION_REPLY_DELAY_S,
    ) -> None:
        self._balancer = balancer
        self._channel = channel
        self._clock = clock
        self._rng = rng
        self._perform = perform
        self._logs = logs
        self._reply_delay_s = reply_delay_s
        self._running: dict[ids.FlowKey, asyncio.Task[None]] = {}
        channel.register(messages.SilenceRequest, self._async_handle_request)

    async def async_close(self) -> None:
        """Cancels all running checks."""
        tasks = tuple(self._running.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def start_checks(self) -> None:
        """Starts due checks, up to the limit of concurrent checks."""
        free_slots = const.MAX_CONCURRENT_SILENCE_CHECKS - len(self._running)
        due = self._balancer.suspicions.list_due(self._clock())
        waiting = [key for key in due if key not in self._running]
        for key in waiting[: max(free_slots, 0)]:
            task = asyncio.create_task(self._async_check(key))
            self._running[key] = task
            task.add_done_callback(
                lambda _, key=key: self._running.pop(key, None)
            )

    def dump_state(self) -> dict[str, Any]:
        """Returns the state as plain values for the `dump` command."""
        return {
            "suspicions": len(self._balancer.suspicions),
            "running": len(self._running),
            "observed": len(self._balancer.silence_detector.observed),
            "counters": dict(self._balancer.suspicions.counters),
        }

    async def _async_check(self, key: ids.FlowKey) -> None:
        suspicion = self._balancer.suspicions.get(key)
        if suspicion is None:
            return
        if suspicion.phase is silence.CheckPhase.RAISED:
            await self._async_start_observation(key)
        else:
            await self._async_conclude(key, suspicion)

    async def _async_start_observation(self, key: ids.FlowKey) -> None:
        """Starts observing a flow at this balancer and at peers."""
        peers = self._choose_peers()
        self._balancer.silence_detector.start_observation(key, self._clock())
        replies = await self._async_query_peers(key, peers, 0.0)
        observers = tuple(
            peer
            for peer, reply in zip(peers, replies, strict=True)
            if reply is not None
        )
        now = self._clock()
        if 2 * len(observers) < len(peers):
            # Without most of the peers, answers of the target could pass
            # unobserved.
            self._balancer.suspicions.dismiss(key, now)
            return
        self._balancer.suspicions.mark_observed(key, observers, now)

    async def _async_conclude(
        self, key: ids.FlowKey, suspicion: silence.Suspicion
    ) -> None:
        """Aborts a flow if no observer has seen a packet from its target."""
        now = self._clock()
        since_s = suspicion.observed_at_s
        self._balancer.silence_detector.extend_observation(key, now)
        replies, _ = await asyncio.gather(
            self._async_query_peers(key, suspicion.observers, now - since_s),
            asyncio.sleep(self._reply_delay_s),
        )
        now = self._clock()
        suspicions = self._balancer.suspicions
        if suspicions.get(key) is not suspicion:
            # The caller made progress in the meantime.
            return
        answered = sum(reply is not None for reply in replies)
        is_answered = self._balancer.silence_detector.may_be_answered(
            key, since_s
        )
        if is_answered or any(replies) or 2 * answered < len(replies):
            suspicions.dismiss(key, now)
            return
        self._abort_flow(key, suspicion, now)

    def _abort_flow(
        self, key: ids.FlowKey, suspicion: silence.Suspicion, now: float
    ) -> None:
        results = self._balancer.abort_silent_flow(key, now)
        for action in results:
            self._perform(action)
        if results:
            self._logs.write_event(
                events.FlowSilent(
                    endpoint=suspicion.base_number,
                    silent_s=now - suspicion.raised_at_s,
                )
            )

    def _choose_peers(self) -> list[ids.VmId]:
        members = self._balancer.context.members
        local = members.local
        peers = sorted(
            member.id
            for member in members.live_members()
            if member.id != local.id and member.region == local.region
        )
        if len(peers) < const.MAX_SILENCE_PEERS:
            return peers
        return self._rng.sample(peers, const.MAX_SILENCE_PEERS)

    async def _async_query_peers(
        self, key: ids.FlowKey, peers: Sequence[ids.VmId], since_s: float
    ) -> list[bool | None]:
        request = messages.SilenceRequest(flow=key, since_s=since_s)
        return await asyncio.gather(
            *(self._async_query_peer(peer, request) for peer in peers)
        )

    async def _async_query_peer(
        self, peer: ids.VmId, request: messages.SilenceRequest
    ) -> bool | None:
        delay_s = self._reply_delay_s if request.since_s else 0.0
        try:
            reply = await self._channel.async_request(
                peer, request, delay_s + const.SILENCE_TIMEOUT_S
            )
        except base_exceptions.ChivedoorError:
            return None
        return reply.answer_seen

    async def _async_handle_request(
        self, request: messages.SilenceRequest
    ) -> messages.SilenceReply:
        key = ids.FlowKey(request.flow)
        now = self._clock()
        silence_detector = self._balancer.silence_detector
        if not request.since_s:
            silence_detector.start_observation(key, now)
            return messages.SilenceReply(answer_seen=False)
        silence_detector.extend_observation(key, now)
        await asyncio.sleep(self._reply_delay_s)
        seen = silence_detector.may_be_answered(key, now - request.since_s)
        return messages.SilenceReply(answer_seen=seen)
