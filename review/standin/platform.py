"""Stand-ins for the platform: store, endpoints, requesters, router, operator.

Only the standard library is used. All of it runs in one asyncio process; the
balancers run as separate processes (processes.py).
"""

import asyncio
import base64
import contextlib
import json
import pathlib
import random
import socket
import struct
import time
import urllib.parse
import zlib

SYN, FIN, RST, ACK = 128, 64, 16, 8
# Marks the flags of a packet whose sum is that of an end.
AUTHENTIC = 256
HEADER = struct.Struct(">IH4s4sHIIIBBH")
KEY = b"known to both ends only"
# PROTOCOL.md, "Flows": copies of the SYN after 200 ms and 600 ms, end of the
# attempt after 1.4 s.
SYN_COPIES_S = (0.2, 0.6)
SYN_TIMEOUT_S = 1.4
PAYLOAD_BYTES = 1200
RETRANSMIT_FIRST_S, RETRANSMIT_MAX_S = 0.2, 1.6


def pack(src, dst, flags, echo=0, seq=0, ack=0, data=b""):
    """Returns a packet with a valid sum; src and dst are (host, port)."""

    def head(total, tag):
        return HEADER.pack(
            total,
            dst[1],
            socket.inet_aton(dst[0]),
            socket.inet_aton(src[0]),
            src[1],
            tag,
            seq & 0xFFFFFFFF,
            ack & 0xFFFFFFFF,
            flags,
            0,
            len(data),
        )

    total = zlib.crc32(data, zlib.crc32(head(0, 0), zlib.crc32(KEY))) or 1
    return head(total, echo) + data


def unpack(datagram):
    """Returns (src, dst, flags, echo, seq, ack, data, authentic)."""
    f = HEADER.unpack_from(datagram)
    src = (socket.inet_ntoa(f[3]), f[4])
    dst = (socket.inet_ntoa(f[2]), f[1])
    data = bytes(datagram[HEADER.size :])
    expected = pack(src, dst, f[8], 0, f[6], f[7], data)
    return src, dst, f[8], f[5], f[6], f[7], data, expected[:4] == datagram[:4]


class Record:
    """Events of a run, one JSON line each, with seconds since the start."""

    def __init__(self, path):
        # Open for as long as the run, hence without a context manager.
        self._file = pathlib.Path(path).open(  # noqa: SIM115
            "w", encoding="utf-8"
        )
        self.start = time.monotonic()

    def now(self):
        """Returns the seconds since the start."""
        return time.monotonic() - self.start

    def write(self, event, **fields):
        """Writes an event, or the configuration."""
        line = {"t": round(self.now(), 4), "event": event, **fields}
        self._file.write(json.dumps(line) + "\n")

    def say(self, event, **fields):
        """Writes an event and prints it."""
        self.write(event, **fields)
        print(f"{self.now():7.2f} s  {event} {fields}", flush=True)

    def read(self, event):
        """Returns the lines of an event so far."""
        self._file.flush()
        with open(self._file.name, encoding="utf-8") as file:
            lines = map(json.loads, file)
            return [line for line in lines if line["event"] == event]

    def close(self):
        """Stops and closes everything."""
        self._file.close()


class _Item(dict):
    """An item or event, encoded once."""

    def __init__(self, **fields):
        super().__init__(fields)
        self.encoded = json.dumps(fields).encode()


def _encode(body):
    """Encodes a response."""
    parts = []
    for name, value in body.items():
        if isinstance(value, list):
            data = b"[" + b",".join(item.encoded for item in value) + b"]"
        else:
            data = json.dumps(value).encode()
        parts.append(b'"%s":%s' % (name.encode(), data))
    return b"{" + b",".join(parts) + b"}"


class Store:
    """The platform's metadata store, as PROTOCOL.md describes it."""

    PAGE_ITEMS, PAGE_BYTES = 500, 1_000_000

    def __init__(self, record, history_s=20.0, answer_s=0.004):
        self.items, self.history = {}, []
        self.revision, self.oldest = 1, 0
        self.history_s, self.answer_s = history_s, answer_s
        self.leases = {}  # key -> time of expiry
        # Size from which an answer to a watch holds no further event; None
        # for no such limit. The page names one for `kv-range` only.
        self.watch_bytes = self.PAGE_BYTES
        self.record = record
        # Addresses that machines can't reach; calls there hang.
        self.cut_hosts = set()
        self.largest_watch = 0
        self._changed = asyncio.Event()
        self._writers = set()

    async def open(self, hosts, port):
        """Starts to listen; each machine has an address of its own."""
        self._server = await asyncio.start_server(self._serve, hosts, port)
        self._task = asyncio.create_task(self._expire())

    async def close(self):
        """Stops and closes everything."""
        self._task.cancel()
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def put(self, key, value, lease_s=None):
        """Writes a value; returns the time of the acknowledgement."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        if len(data) > 1_048_576:
            raise ValueError("value_bytes exceeded")
        self.revision += 1
        created = (
            self.items[key]["created_rev"]
            if key in self.items
            else self.revision
        )
        item = _Item(
            key=key,
            value=base64.b64encode(data).decode(),
            revision=self.revision,
            created_rev=created,
            lease=7 if lease_s else 0,
        )
        self.items[key] = item
        self._append(item)
        self.renew(key, lease_s)
        return self.record.now()

    def get(self, key):
        """Returns the value of a key, None without one."""
        item = self.items.get(key)
        return base64.b64decode(item["value"]) if item else None

    def renew(self, key, lease_s):
        """Renews or drops the lease of a key."""
        if lease_s:
            self.leases[key] = time.monotonic() + lease_s
        else:
            self.leases.pop(key, None)

    def remove(self, key):
        """Removes a key; returns the time of the acknowledgement."""
        self.leases.pop(key, None)
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._append(_Item(key=key, revision=self.revision, deleted=True))
        return self.record.now()

    def _append(self, event):
        self.history.append((time.monotonic(), event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for key, at in tuple(self.leases.items()):
                if at < now:
                    self.record.say("entry lapsed", key=key)
                    self.remove(key)
            while self.history and self.history[0][0] < now - self.history_s:
                self.oldest = self.history.pop(0)[1]["revision"]

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        host = writer.get_extra_info("sockname")[0]
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                path, _, query = target.partition("?")
                q = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                status, body = await self._answer(path, q)
                await asyncio.sleep(self.answer_s)
                if host in self.cut_hosts:
                    # The answer is lost, and with it the connection.
                    await asyncio.Event().wait()
                data = _encode(body)
                if path == "/v1/kv-watch":
                    self.largest_watch = max(self.largest_watch, len(data))
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, path, q):
        if path == "/v1/kv-key":
            item = self.items.get(q["key"])
            return (
                (200, {**item, "store_revision": self.revision})
                if item
                else (404, {})
            )
        if path == "/v1/kv-range":
            keys = sorted(
                k
                for k in self.items
                if k.startswith(q.get("prefix", "")) and k > q.get("after", "")
            )
            page, size = [], 0
            for key in keys[: self.PAGE_ITEMS]:
                page.append(self.items[key])
                size += len(self.items[key]["value"])
                if size > self.PAGE_BYTES:
                    break
            return 200, {
                "items": page,
                "has_more": len(page) < len(keys),
                "store_revision": self.revision,
            }
        after = int(q["after"])
        if after == self.revision:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._changed.wait(), min(int(q["wait_ms"]), 30_000) / 1000
                )
        if not self.oldest <= after <= self.revision:
            return 410, {"error": "history is no longer available"}
        events = [
            e
            for _, e in self.history
            if e["revision"] > after
            and e["key"].startswith(q.get("prefix", ""))
        ]
        revision, size = self.revision, 0
        for number, event in enumerate(events, 1):
            size += len(event.encoded)
            if self.watch_bytes is None:
                continue
            if number == self.PAGE_ITEMS or size > self.watch_bytes:
                events, revision = events[:number], event["revision"]
                break
        return 200, {"events": events, "store_revision": revision}


class _Udp(asyncio.DatagramProtocol):
    def __init__(self, handle):
        self._handle = handle

    def connection_made(self, transport):
        transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 21
        )

    def datagram_received(self, data, addr):
        self._handle(data, addr)

    def error_received(self, error):
        pass


async def open_udp(address, handle):
    """Opens a socket whose datagrams go to `handle`."""
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: _Udp(handle), local_addr=address
    )
    return transport


class Endpoint:
    """An endpoint that answers requesters directly (forwarding_mode echo)."""

    def __init__(
        self,
        *,
        record,
        store,
        id,
        service,
        zone,
        address,
        requester_port,
        slots=4,
        work_s=0.02,
        heartbeat_s=1.2,
        warmup_s=2.0,
        queue=16,
        max_connections=4000,
        slow_share=0.0,
        slow_s=0.0,
        reply_bytes=0,
        cold_handshake_s=None,
    ):
        self.record, self.store = record, store
        self.id, self.service, self.zone, self.address = (
            id,
            service,
            zone,
            address,
        )
        self.number = int(id.rpartition("-")[2], 16)
        self.requester_port = requester_port
        self.slots, self.work_s, self.queue = slots, work_s, queue
        self.heartbeat_s, self.warmup_s = heartbeat_s, warmup_s
        self.max_connections, self.reply_bytes = max_connections, reply_bytes
        # This share of the requests takes slow_s instead of work_s.
        self.slow_share, self.slow_s = slow_share, slow_s
        # Shortest and longest time to answer a SYN while cold.
        self.cold_handshake_s = cold_handshake_s
        self.full_count = 0
        self.alive, self.dark, self.draining = False, False, False
        self.cold_until = 0.0
        self.flows, self.sequence, self.busy = {}, 0, 0
        self._slots = asyncio.Semaphore(slots)
        self._sequences = random.Random(id)
        self._transport = self._task = None

    async def open(self):
        """Opens the socket of the host; the process is not started yet."""
        self._transport = await open_udp(self.address, self._receive)

    def close(self):
        """Stops and closes everything."""
        if self._task:
            self._task.cancel()
        if self._transport:
            self._transport.close()

    def start(self, *, cold, entry_delay_s=0.004):
        """Starts the process: a new lifetime that knows nothing of before."""
        self.alive, self.dark, self.draining = True, False, False
        self.flows, self.sequence, self.busy = {}, 0, 0
        self._slots = asyncio.Semaphore(self.slots)
        self.born = round(time.time() * 1000)
        self.cold_until = self.record.now() + self.warmup_s if cold else 0.0
        self.record.write(
            "endpoint starts",
            id=self.id,
            service=self.service,
            cold_until=round(self.cold_until, 4),
            born=self.born,
        )
        self._task = asyncio.create_task(self._beat(entry_delay_s))

    def stop(self, *, dark=False):
        """Ends the process at once; a dark host doesn't answer either."""
        self.alive, self.dark = False, dark
        self.flows = {}
        self._task.cancel()
        self.record.write("endpoint ends", id=self.id, dark=dark)

    def drain(self):
        """Reports `draining`; returns the time of the store's ack."""
        self.draining = True
        acked = self._write()
        self.record.say(
            "draining acknowledged", id=self.id, acked=round(acked, 3)
        )
        return acked

    def leave(self):
        """Ends a drained endpoint: the entry is removed, the process exits."""
        self.store.remove(f"servers/{self.id}")
        self.stop()

    def entry(self):
        """Returns the entry of the endpoint in the store."""
        left = max(0.0, self.cold_until - self.record.now())
        host, port = self.address
        return {
            "service": self.service,
            "address": f"{host}:{port}",
            "zone": self.zone,
            "version": "v1",
            "concurrency": self.slots,
            "state": "draining" if self.draining else "ready",
            "warmup_left_ms": round(left * 1000),
            "sequence": self.sequence,
            "born": self.born,
        }

    def _write(self):
        self.sequence += 1
        return self.store.put(
            f"servers/{self.id}", self.entry(), 3 * self.heartbeat_s
        )

    async def _beat(self, delay_s):
        await asyncio.sleep(delay_s)
        while True:
            self._beat_once()
            await asyncio.sleep(self.heartbeat_s)

    def _beat_once(self):
        """Writes the entry if more than its sequence would change."""
        key = f"servers/{self.id}"
        try:
            known = json.loads(self.store.get(key) or b"null")
        except ValueError:
            known = None
        wanted = self.entry()
        if isinstance(known, dict) and {**known, "sequence": 0} == {
            **wanted,
            "sequence": 0,
        }:
            self.store.renew(key, 3 * self.heartbeat_s)
        else:
            self._write()

    def _receive(self, datagram, sender):
        number, packet = int.from_bytes(datagram[:8], "big"), datagram[8:]
        if self.dark or number not in (0, self.number):
            return
        src, dst, flags, echo, seq, ack, data, authentic = unpack(packet)
        if not authentic:
            self.record.say("FORGED packet at endpoint", id=self.id)
            return
        key = (src, dst)
        flow = self.flows.get(key)

        def send(kind, **fields):
            tag = flow["echo"] if flow else echo
            self._send(src, pack(dst, src, kind, tag, **fields))

        if flags & SYN:
            if not self.alive:
                self._send(src, pack(dst, src, RST, echo))
                return
            if flow is None and self._is_full():
                # It sends nothing if it is full.
                self.full_count += 1
                return
            if flow is None:
                flow = self.flows[key] = {
                    "at": self.record.now(),
                    "seq": self._sequences.getrandbits(32),
                    "next": seq + 1,
                    "echo": echo,
                    "open": False,
                    "buffer": b"",
                }
                self.record.write(
                    "syn taken",
                    id=self.id,
                    service=self.service,
                    flow=name(src, dst),
                    copy=ack,
                    via=sender[0],
                    cold=self.record.now() < self.cold_until,
                    draining=self.draining,
                )
            flow["echo"] = echo
            answer = pack(dst, src, SYN | ACK, echo, flow["seq"], flow["next"])
            if self.cold_handshake_s and self.record.now() < self.cold_until:
                asyncio.get_running_loop().call_later(
                    self._sequences.uniform(*self.cold_handshake_s),
                    self._send,
                    src,
                    answer,
                )
            else:
                self._send(src, answer)
            return
        if flow is None:
            if not flags & RST:
                self._send(src, pack(dst, src, RST, echo))
            return
        flow["echo"] = echo
        if flags & RST:
            del self.flows[key]
            self.record.write("aborted by requester", flow=name(src, dst))
            return
        if not flow["open"]:
            if ack != (flow["seq"] + 1) & 0xFFFFFFFF:
                return
            flow["open"] = True
            self.record.write("flow open", id=self.id, flow=name(src, dst))
        if data and seq == flow["next"] & 0xFFFFFFFF:
            flow["next"] += len(data)
            flow["buffer"] += data
            if flow["buffer"].endswith(b"\r\n\r\n"):
                text, flow["buffer"] = flow["buffer"], b""
                flow["busy"] = True
                asyncio.create_task(self._run(key, flow, text))
        elif data and flow.get("answer") and not flow["busy"]:
            # A repeated request whose answer was lost.
            self._send_answer(src, dst, flow)
        if flags & FIN:
            send(
                FIN | ACK,
                seq=flow.get("end", flow["seq"] + 1),
                ack=flow["next"] + 1,
            )
            del self.flows[key]

    async def _run(self, key, flow, text):
        (src, dst), request_id = (
            key,
            text.split(b"Id: ")[1].split(b"\r\n")[0].decode(),
        )
        if self.busy >= self.slots + self.queue:
            body = (
                b"HTTP/1.1 503 Busy\r\nChivedoor-Not-Executed: 1\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
        else:
            self.busy += 1
            lifetime = self.born
            async with self._slots:
                self.record.write(
                    "run",
                    id=self.id,
                    service=self.service,
                    request=request_id,
                )
                slow = self._sequences.random() < self.slow_share
                work_s = self.slow_s if slow else self.work_s
                cold = self.record.now() < self.cold_until
                await asyncio.sleep(work_s * (1.6 if cold else 1.0))
            if self.born != lifetime:
                return
            self.busy -= 1
            content = request_id.ljust(self.reply_bytes, ".")
            body = (
                "HTTP/1.1 200 OK\r\n"
                f"Chivedoor-Response-Signature: {self.id}\r\n"
                f"Content-Length: {len(content)}\r\n\r\n{content}"
            ).encode()
        flow["busy"] = False
        if self.flows.get(key) is not flow:
            return
        flow["sent"] = flow.get("end", flow["seq"] + 1)
        flow["answer"], flow["end"] = body, flow["sent"] + len(body)
        self._send_answer(src, dst, flow)

    def _send_answer(self, src, dst, flow):
        body = flow["answer"]
        for at in range(0, len(body), PAYLOAD_BYTES):
            self._send(
                src,
                pack(
                    dst,
                    src,
                    ACK,
                    flow["echo"],
                    flow["sent"] + at,
                    flow["next"],
                    body[at : at + PAYLOAD_BYTES],
                ),
            )

    def _is_full(self):
        """Returns whether it holds all the flows that it may hold.

        A handshake that wasn't completed within 2 s is forgotten.
        """
        now = self.record.now()
        for key, flow in tuple(self.flows.items()):
            if not flow["open"] and flow["at"] < now - 2.0:
                del self.flows[key]
        return len(self.flows) >= self.max_connections

    def _send(self, requester, packet):
        if self._transport.is_closing():
            return
        self._transport.sendto(packet, (requester[0], self.requester_port))


def name(src, dst):
    """Returns the name of a flow."""
    return f"{src[0]}:{src[1]}>{dst[0]}:{dst[1]}"


class Router:
    """Routes packets by a steady hash over the nodes in rotation."""

    def __init__(self, record, nodes):
        """Creates a router; nodes have id, zone, packets and readiness."""
        self.record, self.nodes = record, nodes
        self._misses = {node.id: 2 for node in nodes}
        self._tasks = []

    def start(self):
        """Starts."""
        self._tasks = [
            asyncio.create_task(self._probe(node)) for node in self.nodes
        ]

    def add(self, node):
        """Adds a machine, which isn't in rotation yet."""
        if node not in self.nodes:
            self.nodes.append(node)
        self._misses[node.id] = 2
        self._tasks.append(asyncio.create_task(self._probe(node)))

    def close(self):
        """Stops and closes everything."""
        for task in self._tasks:
            task.cancel()

    def is_in_rotation(self, node):
        """Returns whether a node is in rotation."""
        return self._misses[node.id] < 2

    def choose(self, zone, src, dst):
        """Returns the node for a packet."""
        local = [node for node in self.nodes if node.zone == zone]
        ready = [node for node in local if self.is_in_rotation(node)]
        if not ready:
            ready = [
                node for node in self.nodes if self.is_in_rotation(node)
            ] or local
        elif 2 * len(ready) < len(local):
            ready = local
        flow = f"{src}{dst}"
        return max(
            ready,
            key=lambda n: (
                zlib.crc32(f"{n.id}/{flow}".encode()) * 2654435761 & 0xFFFFFFFF
            ),
        )

    async def _probe(self, node):
        await asyncio.sleep(random.random() * 0.5)
        while True:
            started = time.monotonic()
            try:
                ok = await asyncio.wait_for(self._get(node.readiness), 0.4)
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                ok = False
            before = self.is_in_rotation(node)
            self._misses[node.id] = 0 if ok else self._misses[node.id] + 1
            if before != self.is_in_rotation(node):
                self.record.write("rotation", node=node.id, ready=ok)
            await asyncio.sleep(max(0.0, 0.5 - (time.monotonic() - started)))

    async def _get(self, address):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(
                b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\n"
                b"Connection: close\r\n\r\n"
            )
            return b" 200 " in await reader.readuntil(b"\r\n")
        finally:
            writer.transport.abort()


class Requesters:
    """The requesters of a zone; each attempt is a flow of its own."""

    def __init__(self, *, record, router, zone, hosts, port):
        self.record, self.router, self.zone, self.hosts, self.port = (
            record,
            router,
            zone,
            hosts,
            port,
        )
        self.delay_s = 0.0  # one way
        self._flows, self._ports, self._transports, self._tasks = (
            {},
            {},
            {},
            set(),
        )
        self.count = 0

    async def open(self):
        """Starts to listen."""
        for host in self.hosts:
            self._transports[host] = await open_udp(
                (host, self.port), self._receive
            )
            self._ports[host] = random.randint(20_000, 30_000)

    def close(self):
        """Stops and closes everything."""
        for task in tuple(self._tasks):
            task.cancel()
        for transport in self._transports.values():
            transport.close()

    def request(self, route, retries=2):
        """Sends a request in the background."""
        self.count += 1
        host = self.hosts[self.count % len(self.hosts)]
        task = asyncio.create_task(self._request(host, route, retries))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def load(self, route, per_s, until=None):
        """Sends requests at random times until cancelled."""
        generator = random.Random(self.zone + str(route))
        while until is None or self.record.now() < until:
            self.request(route)
            await asyncio.sleep(generator.expovariate(per_s))

    async def _request(self, host, route, retries):
        number = self.count
        for attempt in range(retries + 1):
            request_id = f"{self.zone}-{number}-{attempt}"
            result = await self._attempt(host, route, request_id)
            if result == "200":
                return
            # Non-idempotent: again only if the flow never opened or the
            # endpoint said that it did not run the request.
            if result not in ("syn reset", "syn timeout", "503"):
                return
            await asyncio.sleep(0.2)

    async def _attempt(self, host, route, request_id):
        port = self._ports[host] = self._ports[host] + 1
        src = (host, port)
        queue = asyncio.Queue()
        self._flows[src] = queue

        def send(flags, **fields):
            self._later(
                self._transports[host].sendto,
                pack(src, route, flags, **fields),
                self.router.choose(self.zone, src, route).packets,
            )

        sent_at = round(self.record.now(), 4)
        seq = random.getrandbits(32)
        answers = []
        try:
            result = await self._talk(queue, send, seq, request_id, answers)
        finally:
            del self._flows[src]
        self.record.write(
            "attempt",
            request=request_id,
            flow=name(src, route),
            sent=sent_at,
            result=result,
            answer=answers,
        )
        return result

    async def _talk(self, queue, send, seq, request_id, answers):
        started = time.monotonic()
        send(SYN, seq=seq, ack=0)
        copies = list(SYN_COPIES_S)
        while True:
            due = copies[0] if copies else SYN_TIMEOUT_S
            try:
                left = started + due - time.monotonic()
                flags, echo, their_seq, _, _ = await asyncio.wait_for(
                    queue.get(), max(0.0, left)
                )
            except TimeoutError:
                if not copies:
                    return "syn timeout"
                copies.pop(0)
                send(SYN, seq=seq, ack=2 - len(copies))
                continue
            if flags & RST:
                return "syn reset"
            if flags & SYN:
                break
        text = (
            f"GET /r HTTP/1.1\r\nChivedoor-Request-Id: {request_id}\r\n\r\n"
        ).encode()
        interval, peer = RETRANSMIT_FIRST_S, (their_seq + 1) & 0xFFFFFFFF
        send(ACK, echo=echo, seq=seq + 1, ack=peer)
        send(ACK, echo=echo, seq=seq + 1, ack=peer, data=text)
        ends = started + 5.0
        while True:
            try:
                flags, tag, got, _, data = await asyncio.wait_for(
                    queue.get(),
                    min(interval, max(0.0, ends - time.monotonic())),
                )
            except TimeoutError:
                if time.monotonic() >= ends:
                    return "deadline"
                interval = min(2 * interval, RETRANSMIT_MAX_S)
                send(ACK, echo=echo, seq=seq + 1, ack=peer, data=text)
                continue
            if flags & RST:
                sender = "endpoint" if flags & AUTHENTIC else "system"
                return f"reset by {sender} on open flow"
            if flags & SYN:
                continue
            echo = tag
            if data and got == peer:
                answers.append(data.split(b"\r\n")[1].decode())
                send(
                    FIN | ACK,
                    echo=echo,
                    seq=seq + 1 + len(text),
                    ack=peer + len(data),
                )
                return data.split(b" ")[1].decode()

    def _receive(self, datagram, sender):
        src, dst, flags, echo, seq, ack, data, authentic = unpack(datagram)
        if not authentic and not flags & RST:
            self.record.say("FORGED packet at requester", flow=name(dst, src))
            return
        queue = self._flows.get(dst)
        if queue is not None:
            mark = AUTHENTIC if authentic else 0
            self._later(queue.put_nowait, (flags | mark, echo, seq, ack, data))

    def _later(self, call, *arguments):
        if self.delay_s:
            loop = asyncio.get_running_loop()
            loop.call_later(self.delay_s, call, *arguments)
        else:
            call(*arguments)


class Operator:
    """Writes configurations and evacuations to the store."""

    def __init__(self, record, store, warmup_per_s):
        self.record, self.store, self.warmup_per_s = record, store, warmup_per_s
        self.version, self.routes, self.services = 3, {}, set()
        self.max_connections = 4000

    def add_route(self, route, service, kind="non_idempotent"):
        """Adds a route without writing the configuration."""
        self.routes[route] = (service, kind)
        self.services.add(service)

    def write(self, quiet=False):
        """Writes the configuration; returns the time of the ack."""
        self.version += 3
        value = {
            "version": self.version,
            "routes": [
                {
                    "name": f"r-{i}",
                    "host": host,
                    "prefix": f"/{port}/",
                    "type": kind,
                    "timeout_ms": 5000,
                    "target_latency_ms": 300,
                    "priority": 2,
                    "service": service,
                    "max_attempts": 2,
                }
                for i, ((host, port), (service, kind)) in enumerate(
                    self.routes.items()
                )
            ],
            "services": [
                {
                    "name": s,
                    "health_path": "/health",
                    "max_connections": self.max_connections,
                    "protocol": "h1",
                    "tls": False,
                    "warmup_s": 2.0,
                    "warmup_per_s": self.warmup_per_s,
                }
                for s in sorted(self.services)
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
        data = json.dumps(value, separators=(",", ":")).encode()
        acked = self.store.put("op/config", data)
        if not quiet:
            self.record.say(
                "configuration acknowledged",
                version=self.version,
                routes=len(self.routes),
                bytes=len(data),
            )
        return acked

    def evacuate(self, zone):
        """Asks to evacuate a zone; returns the time of the ack."""
        acked = self.store.put(f"op/evacuate/{zone}", {})
        self.record.say("evacuation acknowledged", zone=zone)
        return acked

    def take_back(self, zone):
        """Takes an evacuation back."""
        self.store.remove(f"op/evacuate/{zone}")
        self.record.say("evacuation taken back", zone=zone)
