"""Test bed of the cases 6 to 10: real balancers with small stand-ins.

The balancers are started with the command of `deploy/system.toml` and settings
made from its template. Routers, callers and endpoints are those of
`standins.echo`; the store is the one below. All of them run in one process and
on loopback addresses only.
"""

import asyncio
import base64
import collections
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

from standins.echo import callers
from standins.echo import endpoints
from standins.echo import fabric

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("a", "b", "c")
PACKET_PORT = 7200
READY_PORT = 7201
CONTROL_PORT = 7202
STORE_PORT = 7204
INTERNAL_PORTS = (7210, 7225)

# Figures of the pages (SYSTEM.md, DEPLOY.md).
HEARTBEAT_S = 1.2
WARMUP_TOLERANCE = 1.5
WARMUP_SLACK = 5
GRACE_S = 6.0

# Exit statuses. An exception of Python's own ends with 1, so that run.sh
# translates BROKEN.
BROKEN, HELD, NOT_RUN = 10, 0, 2


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._begun_at = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the record was begun."""
        return time.monotonic() - self._begun_at

    def write(self, text: str) -> None:
        """Writes a line with the time."""
        self._file.write(f"{self.now():8.3f} {text}\n")

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


def _read_role() -> dict:
    """Returns the role of the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    return deploy["roles"]["edge"]


def render(template: str, fields: dict) -> str:
    """Fills a template as DEPLOY.md tells, as far as ours needs it."""

    def find(path: str) -> object:
        value: object = fields
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return value

    def show(value: object) -> str:
        if isinstance(value, list):
            return ",".join(map(str, value))
        return str(value)

    def repeat(match: re.Match[str]) -> str:
        entries = list(find(match[1]))
        return "".join(
            match[2]
            .replace("{{@}}", str(entry))
            .replace("{{,}}", "," if entry is not entries[-1] else "")
            for entry in entries
        )

    text = re.sub(
        r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", repeat, template, flags=re.DOTALL
    )
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: show(find(m[1])), text)


class Store:
    """The platform's store: range and watch over HTTP/1.1.

    Each machine reaches it at an address of its own, so that the store can
    tell the machines apart, as it can on the platform.

    Attributes:
        lose: Called with machine, call and prefix before each answer; if it
            returns True, the answer is lost and its connection returns
            nothing further.
    """

    def __init__(self, record: Record) -> None:
        self.lose = lambda machine, call, prefix: False
        self.calls: collections.Counter[str] = collections.Counter()
        self._record = record
        self._items: dict[str, dict] = {}
        self._history: list[dict] = []
        self._revision = 1
        self._down = False
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task] = set()

    async def async_listen(self, machine: str, host: str) -> None:
        """Opens the address at which a machine reaches the store."""

        async def async_serve(reader, writer) -> None:
            task = asyncio.current_task()
            self._tasks.add(task)
            try:
                await self._async_serve(machine, reader, writer)
            except (OSError, ValueError, asyncio.CancelledError):
                # The machine is gone, or the case has ended.
                pass
            finally:
                self._tasks.discard(task)
                writer.transport.abort()

        self._servers.append(
            await asyncio.start_server(async_serve, host, STORE_PORT)
        )

    def close(self) -> None:
        """Closes all connections."""
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()

    def put(self, key: str, value: object) -> None:
        """Writes a value as JSON; returning is the ack."""
        self._revision += 1
        data = json.dumps(value).encode()
        former = self._items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self._revision,
            "created_rev": former["created_rev"] if former else self._revision,
            "lease": 0,
        }
        self._items[key] = item
        self._append(item)
        if key != "op/config":
            self._record.write(f"store ack {key} = {json.dumps(value)}")

    def remove(self, key: str) -> None:
        """Removes a key; returning is the ack."""
        self._revision += 1
        del self._items[key]
        self._append({"key": key, "revision": self._revision, "deleted": True})
        self._record.write(f"store ack {key} removed")

    def has(self, key: str) -> bool:
        """Returns whether a key exists."""
        return key in self._items

    def set_down(self, down: bool) -> None:
        """Makes the store silent: calls get no answer, connections stay."""
        self._record.write("store down" if down else "store back")
        self._down = down

    def _append(self, event: dict) -> None:
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _async_serve(self, machine: str, reader, writer) -> None:
        while line := await reader.readline():
            while (await reader.readline()).strip():
                pass
            target = urllib.parse.urlsplit(line.split()[1].decode())
            query = dict(urllib.parse.parse_qsl(target.query))
            call = target.path.rpartition("/")[2]
            self.calls[f"{machine} {call} {query.get('prefix', '')}"] += 1
            status, body = await self._async_answer(call, query)
            if self._down:
                # Nothing further comes on this connection.
                await reader.read()
                return
            if self.lose(machine, call, query.get("prefix", "")):
                self._record.write(
                    f"store loses the answer to {machine}: {call}"
                    f" {query.get('prefix', '')}"
                )
                # Nothing further comes on this connection.
                await reader.read()
                return
            data = json.dumps(body).encode()
            writer.write(
                f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(data)}\r\n\r\n".encode()
                + data
            )
            await writer.drain()

    async def _async_answer(self, call: str, query: dict) -> tuple[int, dict]:
        prefix = query.get("prefix", "")
        if call == "kv-range":
            after = query.get("after", "")
            keys = sorted(
                key
                for key in self._items
                if key.startswith(prefix) and key > after
            )
            return 200, {
                "items": [self._items[key] for key in keys[:500]],
                "has_more": len(keys) > 500,
                "store_revision": self._revision,
            }
        if call == "kv-watch":
            after = int(query["after"])
            ends_at = time.monotonic() + int(query["wait_ms"]) / 1000
            while not (events := self._list_events(prefix, after)):
                left_s = ends_at - time.monotonic()
                if left_s <= 0:
                    break
                try:
                    await asyncio.wait_for(self._changed.wait(), left_s)
                except TimeoutError:
                    break
            return 200, {"events": events, "store_revision": self._revision}
        if call == "kv-key":
            item = self._items.get(query.get("key", ""))
            if item is not None:
                return 200, item | {"store_revision": self._revision}
        return 404, {"error": "not found"}

    def _list_events(self, prefix: str, after: int) -> list[dict]:
        return [
            event
            for event in self._history
            if event["revision"] > after and event["key"].startswith(prefix)
        ]


class Machine:
    """An edge machine with its process."""

    def __init__(self, bed: "Testbed", zone: str, index: int) -> None:
        number = ZONES.index(zone)
        self.name = f"edge-{zone}-{index}"
        self.zone = zone
        self.host = bed.make_host(10 + number, index)
        self.store_host = bed.make_host(20 + number, index)
        self.control = f"{self.host}:{CONTROL_PORT}"
        self.node = fabric.Node(
            id=self.name,
            domain=zone,
            packets=(self.host, PACKET_PORT),
            readiness=(self.host, READY_PORT),
        )
        self.log = bed.folder / f"{self.name}.log"
        self.process: subprocess.Popen | None = None
        self._bed = bed

    def write_settings(self, seeds: list[str]) -> pathlib.Path:
        """Fills the template of the settings; a running process gets no signal.

        Returns:
            The settings file.
        """
        role = _read_role()
        fields = {
            "node_name": self.name,
            "role": "edge",
            "ip": self.host,
            "zone": self.zone,
            "region": "kartli",
            "zones": dict.fromkeys(ZONES, "kartli"),
            "internal_port_range": list(INTERNAL_PORTS),
            "seeds": seeds,
            "listen_addrs": {
                "datagram_addr": f"{self.host}:{PACKET_PORT}",
                "ready": f"{self.host}:{READY_PORT}",
                "control": self.control,
            },
            "limits": {"max_fds": 1535, "bandwidth_mbps": 350.0},
            "policy_params": {"grace_s": 6},
            "platform": {"address": f"{self.store_host}:{STORE_PORT}"},
        }
        settings = self._bed.folder / f"{self.name}.ini"
        settings.write_text(
            render((ROOT / role["template"]).read_text(), fields)
        )
        self._bed.record.write(f"settings of {self.name}: seeds {seeds}")
        return settings

    def start(self, seeds: list[str]) -> None:
        """Starts the role of the deploy file."""
        settings = self.write_settings(seeds)
        role = _read_role()
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": os.environ.get("LANG", "C.UTF-8"),
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "CHIVEDOOR_NODE_FILE": str(settings),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._bed.record.write(f"{self.name} started")

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        self._bed.record.write(f"{self.name} gets {number.name}")
        self.process.send_signal(number)

    async def async_leave(self) -> None:
        """Stops the process as planned and waits for its end."""
        self.send_signal(signal.SIGTERM)
        assert self.process is not None
        ends_at = time.monotonic() + GRACE_S
        while self.process.poll() is None and time.monotonic() < ends_at:
            await asyncio.sleep(0.05)
        self.kill()
        self._bed.record.write(f"{self.name} has left")

    def kill(self) -> None:
        """Ends the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Server:
    """An endpoint with its TCP port for liveness checks."""

    def __init__(self, bed: "Testbed", **options) -> None:
        self.cold_until = 0.0
        self._bed = bed
        self.endpoint = endpoints.Endpoint(
            callers_port=PACKET_PORT,
            observer=bed,
            is_reachable=lambda endpoint, sender: True,
            generator=random.Random(options["id"]),
            **options,
        )
        self.endpoint.server = self
        self._tcp: asyncio.Server | None = None
        self._dark: list[socket.socket] = []

    @property
    def id(self) -> str:
        """Id of the endpoint."""
        return self.endpoint.id

    async def async_open(self) -> None:
        """Opens the packet socket and the TCP port."""
        await self.endpoint.async_open()
        await self._async_listen()

    async def _async_listen(self) -> None:
        async def async_serve(reader, writer) -> None:
            try:
                await asyncio.wait_for(reader.readline(), 5.0)
                status = (
                    "200 OK"
                    if self.endpoint.state is endpoints.EndpointState.READY
                    else "503 Service Unavailable"
                )
                writer.write(
                    f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n"
                    f"Chivedoor-Instance-Id: {self.id}\r\n"
                    "Connection: close\r\n\r\n".encode()
                )
                await writer.drain()
            except (OSError, TimeoutError):
                pass
            finally:
                writer.close()

        self._tcp = await asyncio.start_server(
            async_serve, *self.endpoint.address
        )

    def begin_warm_up(self, cold_s: float) -> None:
        """The endpoint is cold from now on; its entry does not tell."""
        self._bed.record.write(f"{self.id} starts again, cold")
        self.cold_until = time.monotonic() + cold_s

    def crash(self) -> None:
        """The process ends; the host refuses its packets."""
        self._bed.record.write(f"{self.id} crashes")
        self.endpoint.stop(endpoints.EndpointState.REFUSING)

    def write_entry(self, cold_s: float = 0.0) -> None:
        """Registers in the store."""
        if cold_s:
            self.cold_until = time.monotonic() + cold_s
        self._bed.store.put(
            f"servers/{self.id}",
            self.endpoint.build_entry(cold_ms=round(cold_s * 1000)),
        )

    def write_remaining(self, ends_at: float) -> None:
        """Writes the entry with the time for which it is still cold."""
        left_s = max(0.0, ends_at - time.monotonic())
        self._bed.store.put(
            f"servers/{self.id}",
            self.endpoint.build_entry(cold_ms=round(left_s * 1000)),
        )

    def warm_up(self, cold_s: float) -> None:
        """Registers as cold, and as warm once that is over."""
        self.write_entry(cold_s)
        self._bed.spawn(self._async_end_warm_up(cold_s, self.cold_until))

    async def _async_end_warm_up(self, cold_s: float, until: float) -> None:
        await asyncio.sleep(cold_s)
        if self.cold_until == until and self._bed.store.has(
            f"servers/{self.id}"
        ):
            self.write_entry()

    def lose_power(self) -> None:
        """The host goes dark: it answers nothing, on UDP or TCP."""
        self._bed.record.write(f"{self.id} loses power")
        self.endpoint.stop(endpoints.EndpointState.DARK)
        if self._tcp is not None:
            self._tcp.close()
            self._tcp = None
        # A full queue of new connections: further ones get no answer.
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self.endpoint.address)
        listener.listen(0)
        self._dark = [listener]
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.endpoint.address)
            self._dark.append(filler)

    async def async_return(self, cold_s: float) -> None:
        """Starts again under the same id: registers, then takes packets."""
        for opened in self._dark:
            opened.close()
        self._dark = []
        await self._async_listen()
        self.endpoint.restart()
        self._bed.record.write(f"{self.id} starts again, cold")
        self.warm_up(cold_s)

    async def async_close(self) -> None:
        """Closes all sockets."""
        for opened in self._dark:
            opened.close()
        if self._tcp is not None:
            self._tcp.close()
        await self.endpoint.async_close()


class ObservedCallers(callers.Callers):
    """Callers that tell when they send the first packet of a flow."""

    async def _async_open_flow(self, flow) -> None:
        self._observer.record_sent(flow.key)
        await super()._async_open_flow(flow)


class Testbed:
    """A small deployment: 3 zones with a few machines each."""

    def __init__(
        self,
        folder: pathlib.Path,
        machines_per_zone: int,
    ) -> None:
        self.record = Record(folder / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.block, self._reservation = _reserve_block()
        self.store = Store(self.record)
        self.servers: list[Server] = []
        self.machines = [
            Machine(self, zone, index + 1)
            for zone in ZONES
            for index in range(machines_per_zone)
        ]
        self.by_host = {machine.host: machine for machine in self.machines}
        self.fabric = fabric.Fabric(nodes=[m.node for m in self.machines])
        self.callers = {
            zone: ObservedCallers(
                domain=zone,
                host=self.make_host(30 + number, 1),
                port=PACKET_PORT,
                routers=self.fabric,
                observer=self,
                generator=random.Random(number + 1),
            )
            for number, zone in enumerate(ZONES)
        }
        self.outcomes: list[callers.Outcome] = []
        # First arrivals at cold endpoints: (sent at, arrived at, machine).
        self.cold_arrivals: dict[str, list[tuple[float, float, str]]] = (
            collections.defaultdict(list)
        )
        self.arrivals: collections.Counter[str] = collections.Counter()
        self.runs: collections.Counter[str] = collections.Counter()
        self._sent_at: dict = {}
        self._seen: set = set()
        self._tasks: set[asyncio.Task] = set()
        self._next_id = 0

    def make_host(self, kind: int, index: int) -> str:
        """Returns a loopback address."""
        return f"127.{self.block}.{kind}.{index}"

    def spawn(self, coroutine) -> None:
        """Runs a coroutine until the case ends."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def async_open(
        self, seeds: list[str], running: list[Machine] | None = None
    ) -> None:
        """Opens the stand-ins, starts machines and waits for them."""
        running = self.machines if running is None else running
        for machine in self.machines:
            await self.store.async_listen(machine.name, machine.store_host)
        for machine in running:
            machine.start(seeds)
        self.fabric.start()
        for group in self.callers.values():
            await group.async_open()
        await self.async_wait_ready(running)

    async def async_wait_ready(self, machines: list[Machine]) -> None:
        """Waits until the routers have put machines into rotation."""
        ends_at = time.monotonic() + 20.0
        while not all(machine.node.in_rotation for machine in machines):
            if time.monotonic() > ends_at:
                raise CannotRun("the machines did not become ready")
            await asyncio.sleep(0.1)
        self.record.write(f"{len(machines)} machines are ready")

    async def async_close(self) -> None:
        """Ends all processes and closes all stand-ins."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for machine in self.machines:
            machine.kill()
        await self.fabric.async_close()
        for group in self.callers.values():
            await group.async_close()
        for server in self.servers:
            await server.async_close()
        self.store.close()
        self._reservation.close()
        self.record.close()
        if os.environ.get("KEEP_LOGS"):
            sys.stderr.write(f"logs: {self.folder}\n")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def async_add_server(
        self, service: str, zone: str, *, cold_s: float = 0.0, work_s=0.03
    ) -> Server:
        """Starts an endpoint and registers it."""
        self._next_id += 1
        server = Server(
            self,
            id=f"i-{self._next_id * 0x1F35D7:010x}",
            service=service,
            domain=zone,
            host=self.make_host(40 + ZONES.index(zone), self._next_id),
            slots=4,
            work_s=work_s,
        )
        await server.async_open()
        self.servers.append(server)
        if cold_s:
            server.warm_up(cold_s)
        else:
            server.write_entry()
        return server

    def start_load(self, load: callers.Load, flows_per_s: float) -> None:
        """Opens flows at this rate in each zone, at random moments."""
        for number, group in enumerate(self.callers.values()):
            self.spawn(self._async_generate(group, load, flows_per_s, number))

    async def _async_generate(self, group, load, rate, number) -> None:
        generator = random.Random(f"{load.name}/{number}")
        while True:
            await asyncio.sleep(generator.expovariate(rate))
            self.spawn(group.async_send_requests(load))

    # Observations of callers and endpoints.

    def record_sent(self, key) -> None:
        """Called when a caller sends the first packet of a flow."""
        self._sent_at[key] = time.monotonic()
        self.record.write(f"sent {_show(key)}")

    def record_outcome(self, outcome: callers.Outcome) -> None:
        """Called when a request has ended."""
        self.outcomes.append(outcome)
        self.record.write(
            f"answered {outcome.load.name} in {outcome.domain}: "
            + ", ".join(end.value for end in outcome.ends)
        )

    def record_reset(self, flow, sender: str) -> None:
        """Called when a balancer resets an open flow."""
        self.record.write(f"open flow {_show(flow.key)} reset by {sender}")

    def record_packet(self, endpoint, packet, sender: str) -> None:
        """Packets after the opening are not recorded one by one."""

    def record_opened(self, endpoint, flow) -> None:
        """The flow is recorded by its opening packet."""

    def record_closed(self, flow) -> None:
        """The outcome tells how a flow ended."""

    def record_opening(self, endpoint, packet, sender: str) -> None:
        """Called for each opening packet that an endpoint takes."""
        key = (packet.source, packet.destination)
        now = time.monotonic()
        if (key, endpoint.id) in self._seen:
            return
        self._seen.add((key, endpoint.id))
        machine = self.by_host.get(sender)
        name = machine.name if machine else sender
        cold = now < endpoint.server.cold_until
        self.arrivals[endpoint.id] += 1
        self.record.write(
            f"opening {_show(key)} at {endpoint.id}"
            f"{' (cold)' if cold else ''} from {name}"
        )
        if cold:
            self.cold_arrivals[endpoint.id].append(
                (self._sent_at.get(key, now), now, name)
            )

    def record_run(self, endpoint, request) -> None:
        """Called when a request starts to run."""
        self.runs[endpoint.id] += 1
        self.record.write(f"run {request['id']} at {endpoint.id}")


def find_worst_second(
    arrivals: list[tuple[float, float, str]],
) -> list[tuple[float, float, str]]:
    """Returns the requests of the worst sliding second of an endpoint.

    Only those that were both sent and taken inside the second count.
    """
    worst: list[tuple[float, float, str]] = []
    for _, end, _ in arrivals:
        inside = [
            arrival
            for arrival in arrivals
            if arrival[0] > end - 1.0 and end - 1.0 < arrival[1] <= end
        ]
        if len(inside) > len(worst):
            worst = inside
    return worst


def judge_failback(bed: Testbed, warmup_per_s: float) -> int:
    """Judges the rule FAILBACK; writes what was counted."""
    bound = warmup_per_s * WARMUP_TOLERANCE + WARMUP_SLACK
    verdict = HELD
    for server in bed.servers:
        worst = find_worst_second(bed.cold_arrivals[server.id])
        if not worst:
            continue
        by_machine = collections.Counter(name for _, _, name in worst)
        line = (
            f"{server.id} ({server.endpoint.service}, {server.endpoint.domain})"
            f" while cold: {len(worst)} requests in its worst second, bound"
            f" {bound:g}; from {dict(sorted(by_machine.items()))}"
        )
        bed.record.write(line)
        print(line)
        if len(worst) > bound:
            verdict = BROKEN
    served = sum(outcome.served for outcome in bed.outcomes)
    line = f"{served} of {len(bed.outcomes)} requests served"
    bed.record.write(line)
    print(line)
    if served < len(bed.outcomes) / 4:
        raise CannotRun("hardly any request was served")
    print("FAILBACK " + ("broken" if verdict == BROKEN else "held"))
    bed.record.write("FAILBACK " + ("broken" if verdict == BROKEN else "held"))
    return verdict


def make_configuration(
    version: int,
    routes: dict[str, tuple[tuple[str, int], str, callers.RequestKind]],
    warmup_per_s: float,
    warmup_s: float,
    *,
    goal_ms: int = 250,
) -> dict:
    """Builds a configuration."""
    services = sorted({service for _, service, _ in routes.values()})
    return {
        "version": version,
        "routes": [
            {
                "name": name,
                "host": address[0],
                "prefix": f"/{address[1]}/",
                "type": kind.value,
                "timeout_ms": 2500,
                "target_latency_ms": goal_ms,
                "priority": 2,
                "service": service,
                "max_attempts": 2,
            }
            for name, (address, service, kind) in routes.items()
        ],
        "services": [
            {
                "name": service,
                "health_path": "/health",
                "max_connections": 4000,
                "protocol": "h1",
                "tls": False,
                "warmup_s": warmup_s,
                "warmup_per_s": warmup_per_s,
            }
            for service in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def run(
    async_play,
    folder: pathlib.Path,
    machines_per_zone: int,
) -> None:
    """Plays a case and exits with its verdict."""

    async def async_main() -> int:
        main_task = asyncio.current_task()
        assert main_task is not None
        # The processes are ended also when the case itself is stopped.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, main_task.cancel
        )
        bed = Testbed(folder, machines_per_zone)
        try:
            async with asyncio.timeout(110.0):
                return await async_play(
                    bed, os.environ.get("TROUBLE", "1") != "0"
                )
        finally:
            await bed.async_close()

    try:
        sys.exit(asyncio.run(async_main()))
    except CannotRun as error:
        print(f"cannot run: {error}")
        sys.exit(NOT_RUN)


def _reserve_block() -> tuple[int, socket.socket]:
    """Returns the second octet of unused loopback addresses."""
    for block in random.sample(range(101, 250), 149):
        reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            reservation.bind((f"127.{block}.0.1", PACKET_PORT))
        except OSError:
            reservation.close()
        else:
            return block, reservation
    raise CannotRun("no free block of loopback addresses")


def _show(key) -> str:
    (caller, caller_port), (route, route_port) = key
    return f"{caller}:{caller_port}>{route}:{route_port}"
