"""Requesters that keep a flow open for many requests, with pauses."""

import asyncio
import random
import time

from standin import platform


class Sessions(platform.Requesters):
    """The long flows of a zone's requesters."""

    async def use(self, route, *, requests, pause_s):
        """Sends requests on long flows, one after the other, until cancelled.

        Args:
            route: The route.
            requests: Number of requests on a flow.
            pause_s: Mean pause between two requests, in seconds.
        """
        generator = random.Random(f"{self.zone}{len(self._tasks)}{id(self)}")
        while True:
            self.count += 1
            host = self.hosts[self.count % len(self.hosts)]
            port = self._ports[host] = self._ports[host] + 1
            src, queue = (host, port), asyncio.Queue()
            self._flows[src] = queue
            try:
                await self._use_flow(
                    src, route, queue, requests, pause_s, generator
                )
            finally:
                del self._flows[src]
            await asyncio.sleep(0.2)

    async def _use_flow(self, src, route, queue, requests, pause_s, generator):
        def send(flags, **fields):
            self._transports[src[0]].sendto(
                platform.pack(src, route, flags, **fields),
                self.router.choose(self.zone, src, route).packets,
            )

        flow = platform.name(src, route)
        seq = generator.getrandbits(31)
        opened = await self._open(queue, send, seq)
        if opened is None:
            self.record.write("not opened", flow=flow)
            return
        echo, peer = opened
        seq += 1
        send(platform.ACK, echo=echo, seq=seq, ack=peer)
        for number in range(requests):
            request_id = f"{flow}/{number}"
            text = (
                f"GET /r HTTP/1.1\r\nChivedoor-Request-Id: {request_id}\r\n\r\n"
            ).encode()
            sent_at = round(self.record.now(), 4)
            result, echo, peer = await self._ask(
                queue, send, seq, text, echo, peer
            )
            self.record.write(
                "request",
                request=request_id,
                flow=flow,
                sent=sent_at,
                result=result,
            )
            if result != "answered":
                return
            seq += len(text)
            await asyncio.sleep(pause_s * (0.5 + generator.random()))
            if not queue.empty():
                self.record.write("ended in a pause", flow=flow)
                return
        send(
            platform.FIN | platform.ACK,
            echo=echo,
            seq=seq,
            ack=peer,
        )

    async def _open(self, queue, send, seq):
        started = time.monotonic()
        send(platform.SYN, seq=seq, ack=0)
        dues = [*platform.SYN_COPIES_S, platform.SYN_TIMEOUT_S]
        while dues:
            try:
                flags, echo, theirs, _, _ = await asyncio.wait_for(
                    queue.get(), max(0.0, started + dues[0] - time.monotonic())
                )
            except TimeoutError:
                dues.pop(0)
                if dues:
                    send(platform.SYN, seq=seq, ack=3 - len(dues))
                continue
            if flags & platform.RST:
                return None
            if flags & platform.SYN:
                return echo, (theirs + 1) & 0xFFFFFFFF
        return None

    async def _ask(self, queue, send, seq, text, echo, peer):
        """Sends a request; returns the result, the echo and the next byte."""
        ends = time.monotonic() + 2.5
        interval = platform.RETRANSMIT_FIRST_S
        answer = b""
        send(platform.ACK, echo=echo, seq=seq, ack=peer, data=text)
        while True:
            try:
                flags, tag, got, _, data = await asyncio.wait_for(
                    queue.get(), interval
                )
            except TimeoutError:
                if time.monotonic() >= ends:
                    send(platform.RST, echo=echo, seq=seq, ack=peer)
                    return "time limit", echo, peer
                interval = min(2 * interval, platform.RETRANSMIT_MAX_S)
                send(platform.ACK, echo=echo, seq=seq, ack=peer, data=text)
                continue
            if flags & platform.RST:
                # A reset of the system has sum 0, one of an endpoint has not.
                sender = "endpoint" if flags & platform.AUTHENTIC else "system"
                return f"reset by {sender}", echo, peer
            if flags & platform.SYN:
                continue
            echo = tag
            if data and got == peer:
                answer += data
                peer = (peer + len(data)) & 0xFFFFFFFF
            head, end, content = answer.partition(b"\r\n\r\n")
            if end and len(content) >= int(head.rpartition(b" ")[2]):
                # The second packet of the answer is acknowledged at once.
                send(platform.ACK, echo=echo, seq=seq + len(text), ack=peer)
                return "answered", echo, peer
