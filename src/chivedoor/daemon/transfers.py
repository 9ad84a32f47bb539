"""Transfer of flow records between balancers."""

import asyncio

from chivedoor import exceptions as base_exceptions
from chivedoor import ids
from chivedoor.balancer import balancer as balancers
from chivedoor.balancer import targets as targets_module
from chivedoor.configuration import document as documents
from chivedoor.control import channel as channels
from chivedoor.control import messages
from chivedoor.daemon import const
from chivedoor.daemon import traffic
from chivedoor.flows import owner as owners

_KINDS = tuple(documents.PortKind)


class Transfers:
    """Pulls missing flow records and serves the pulls of other balancers."""

    def __init__(
        self,
        *,
        balancer: balancers.Balancer,
        channel: channels.Channel,
        clock: traffic.Clock,
    ) -> None:
        self._balancer = balancer
        self._channel = channel
        self._clock = clock
        self._running: dict[targets_module.Pull, asyncio.Task[None]] = {}
        self.failures = 0
        channel.register(messages.FlowsRequest, self._async_handle_request)

    async def async_close(self) -> None:
        """Cancels all running pulls."""
        tasks = tuple(self._running.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def start_pulls(self) -> int:
        """Starts missing pulls, up to `MAX_CONCURRENT_PULLS` at once.

        Returns:
            The number of unfinished pulls, including the running ones.
        """
        missing = self._balancer.targets.list_pulls()
        free_slots = const.MAX_CONCURRENT_PULLS - len(self._running)
        waiting = [pull for pull in missing if pull not in self._running]
        for pull in waiting[: max(free_slots, 0)]:
            task = asyncio.create_task(self._async_pull(pull))
            self._running[pull] = task
            task.add_done_callback(
                lambda _, pull=pull: self._running.pop(pull, None)
            )
        return len(missing)

    async def _async_pull(self, pull: targets_module.Pull) -> None:
        cursor: int | None = 0
        while cursor is not None:
            batch = await self._async_read_batch(pull, cursor)
            if batch is None:
                self.failures += 1
                await asyncio.sleep(const.PULL_RETRY_DELAY_S)
                return
            self._balancer.targets.accept_flows(pull, batch, self._clock())
            cursor = batch.cursor

    async def _async_read_batch(
        self, pull: targets_module.Pull, cursor: int
    ) -> targets_module.FlowBatch | None:
        if pull.identity.member == self._balancer.context.local_id:
            return self._balancer.targets.read_flows(
                number=pull.number,
                base=pull.base,
                generation=pull.generation,
                after=cursor,
                reader=self._balancer.targets.get_local_identity(),
            )
        reader = self._balancer.targets.get_local_identity()
        request = messages.FlowsRequest(
            endpoint=pull.number,
            base=pull.base,
            cursor=cursor,
            generation=pull.generation,
            member=reader.member,
            incarnation=reader.incarnation,
        )
        try:
            reply = await self._channel.async_request(
                pull.identity.member, request, const.PULL_TIMEOUT_S
            )
        except base_exceptions.ChivedoorError:
            return None
        if not reply.known:
            return None
        return targets_module.FlowBatch(
            keys=tuple(ids.FlowKey(key) for key in reply.keys),
            kinds=tuple(_KINDS[code] for code in reply.kinds),
            cursor=reply.cursor,
        )

    async def _async_handle_request(
        self, request: messages.FlowsRequest
    ) -> messages.FlowsReply:
        base = request.base
        batch = self._balancer.targets.read_flows(
            number=ids.EndpointNumber(request.endpoint),
            base=None if base is None else ids.EndpointNumber(base),
            generation=ids.Generation(request.generation),
            after=request.cursor or 0,
            reader=owners.OwnerIdentity(
                member=ids.VmId(request.member),
                incarnation=ids.Incarnation(request.incarnation),
            ),
        )
        keys = () if batch is None else batch.keys
        kinds = () if batch is None else batch.kinds
        return messages.FlowsReply(
            endpoint=request.endpoint,
            base=request.base,
            known=batch is not None,
            keys=list(keys),
            targets=[request.endpoint] * len(keys),
            kinds=[_KINDS.index(kind) for kind in kinds],
            cursor=None if batch is None else batch.cursor,
        )
