"""A small deployment: the system's processes, as the deploy file runs them."""

import asyncio
import dataclasses
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import tomllib

from standin import platform
from standin import sessions

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("a", "b", "c")
# The bounds of the small sites (SYSTEM.md, "Bounds").
PARAMS = {
    "seed_staleness_s": 3,
    "address_reuse_s": 2,
    "stable_window_ms": 4000,
    "ack_timeout_ms": 5000,
    "sync_s": 4,
    "drain_timeout_ms": 3000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "downgrade_slack_ms": 250,
    "partition_slack_ms": 12000,
    "warmup_tolerance": 1.5,
    "warmup_slack": 5,
    "evacuation_ms": 5000,
    "recovery_s": 12,
    "reorder_window_ms": 2000,
    "flow_ttl_s": 60,
}


class CannotRun(Exception):
    """The case could not run; says nothing about the rule."""


def render(template, fields):
    """Fills in a template (DEPLOY.md, "Settings of a process")."""

    def find(path):
        value = fields
        for part in path.split("."):
            value = value[int(part)] if part.isdigit() else value[part]
        return value

    def section(match):
        table = find(match[1])
        return "".join(
            match[2]
            .replace("{{@}}", key)
            .replace("{{,}}", "," if i < len(table) - 1 else "")
            for i, key in enumerate(table)
        )

    def text(match):
        value = find(match[1])
        return (
            ",".join(map(str, value)) if isinstance(value, list) else str(value)
        )

    filled = re.sub(
        r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S
    )
    return re.sub(r"\{\{([\w.]+)\}\}", text, filled)


@dataclasses.dataclass
class Node:
    """A machine with its process."""

    id: str
    zone: str
    host: str
    packets: tuple
    readiness: tuple
    metrics: tuple
    settings: pathlib.Path = None
    process: subprocess.Popen = None
    store_host: str = ""

    async def read_state(self):
        """Returns the state page of the process."""
        reader, writer = await asyncio.open_connection(*self.metrics)
        writer.write(
            b"GET /state HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        )
        data = await reader.read()
        writer.close()
        return json.loads(data.split(b"\r\n\r\n", 1)[1])


class Deployment:
    """Balancers on loopback addresses, with the stand-ins of the platform."""

    def __init__(
        self,
        *,
        folder,
        per_zone=4,
        warmup_per_s=8.0,
        heartbeat_s=1.2,
    ):
        self.record = platform.Record(pathlib.Path(folder) / "record.txt")
        self.heartbeat_s = heartbeat_s
        self.block = self._choose_block()
        base = self._choose_ports()
        (
            self.port,
            self.ready_port,
            self.peer_port,
            self.endpoint_port,
            self.store_port,
        ) = (base, base + 1, base + 2, base + 3, base + 4)
        self.store = platform.Store(self.record)
        self.operator = platform.Operator(self.record, self.store, warmup_per_s)
        self.endpoints, self.requesters = [], {}
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self._deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())[
            "roles"
        ]["edge"]
        self.nodes = [
            self._make_node(z, i)
            for z in range(3)
            for i in range(1, per_zone + 1)
        ]
        self.router = platform.Router(self.record, self.nodes)
        for z, zone in enumerate(ZONES):
            self.requesters[zone] = sessions.Sessions(
                record=self.record,
                router=self.router,
                zone=zone,
                port=self.port,
                hosts=[f"127.{self.block}.{100 + z}.{i}" for i in range(1, 5)],
            )

    def _choose_block(self):
        for _ in range(50):
            block = random.randint(20, 250)
            try:
                with socket.socket() as probe:
                    probe.bind((f"127.{block}.200.7", 0))
                return block
            except OSError:
                continue
        raise CannotRun("no loopback block")

    def _choose_ports(self):
        for _ in range(200):
            base = random.randint(10_000, 19_000)
            try:
                probes = []
                for port in [*range(base, base + 5), 9464]:
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        probes.append(socket.socket(socket.AF_INET, kind))
                        probes[-1].bind((f"127.{self.block}.0.1", port))
                return base
            except OSError:
                continue
            finally:
                for probe in probes:
                    probe.close()
        raise CannotRun("no free ports")

    def _make_node(self, z, i):
        host = f"127.{self.block}.{z}.{i}"
        node = Node(
            id=f"edge-{ZONES[z]}-{i}",
            zone=ZONES[z],
            host=host,
            packets=(host, self.port),
            readiness=(host, self.ready_port),
            metrics=(host, 9464),
            store_host=f"127.{self.block}.{200 + z}.{i}",
        )
        node.settings = self._folder / f"{node.id}.ini"
        self.write_settings(
            node, [f"127.{self.block}.{zone}.1" for zone in range(3)]
        )
        return node

    def write_settings(self, node, seeds):
        """Writes the settings file of a machine, from the template."""
        host = node.host
        fields = {
            "node_name": node.id,
            "role": "edge",
            "machine_class": "edge",
            "serves": ["edge", "control_plane"],
            "ip": host,
            "zone": node.zone,
            "region": "r",
            "internal_port_range": [self.peer_port, self.peer_port],
            "seeds": [f"{seed}:{self.peer_port}" for seed in seeds],
            "bootstrap": True,
            "heartbeat_ms": round(self.heartbeat_s * 1000),
            "hash_method": "steady",
            "forwarding_mode": "echo",
            "zones": dict.fromkeys(ZONES, "r"),
            "listen_addrs": {
                "datagram_addr": f"{host}:{self.port}",
                "ready": f"{host}:{self.ready_port}",
                "control": f"{host}:{self.peer_port}",
            },
            "limits": {
                "cpu_share": 0.731,
                "vcpus": 1,
                "memory_mb": 222,
                "max_fds": 1535,
                "bandwidth_mbps": 350.0,
                "disk_mb": 0,
            },
            "policy_params": PARAMS,
            "platform": {
                "address": f"{node.store_host}:{self.store_port}",
                "forwarding_mode": "read",
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
            },
        }
        text = render((ROOT / self._deploy["template"]).read_text(), fields)
        node.settings.write_text(text)

    def add_endpoint(self, id, service, zone, **options):
        """Adds an endpoint, which is started later."""
        n = len(self.endpoints) + 1
        endpoint = platform.Endpoint(
            record=self.record,
            store=self.store,
            id=id,
            service=service,
            zone=zone,
            address=(
                f"127.{self.block}.{20 + ZONES.index(zone)}.{n}",
                self.endpoint_port,
            ),
            requester_port=self.port,
            heartbeat_s=self.heartbeat_s,
            **options,
        )
        self.endpoints.append(endpoint)
        return endpoint

    def start(self, node):
        """Starts a machine's process with the command of the deploy file."""
        if not (ROOT / "target/deps").exists():
            raise CannotRun("target/deps is missing: build it first")
        environment = {
            k: os.environ[k]
            for k in ("PATH", "HOME", "LANG")
            if k in os.environ
        }
        environment |= {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "CHIVEDOOR_NODE_FILE": str(node.settings),
        }
        with open(self._folder / f"{node.id}.log", "ab") as log:
            node.process = subprocess.Popen(
                self._deploy["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.write("process starts", node=node.id, pid=node.process.pid)

    def signal(self, node, number):
        """Sends a signal to a process."""
        self.record.say(
            "signal", node=node.id, signal=signal.Signals(number).name
        )
        node.process.send_signal(number)

    def add_node(self, zone, number, seeds):
        """Adds a machine and starts its process."""
        node = self._make_node(ZONES.index(zone), number)
        self.write_settings(node, seeds)
        self.nodes.append(node)
        self.start(node)
        self.router.add(node)
        return node

    async def open(self):
        """Starts everything and waits until all nodes are in rotation."""
        await self.store.open(
            [
                f"127.{self.block}.{200 + zone}.{number}"
                for zone in range(3)
                for number in range(1, 10)
            ],
            self.store_port,
        )
        for endpoint in self.endpoints:
            await endpoint.open()
        for group in self.requesters.values():
            await group.open()
        for node in self.nodes:
            self.start(node)
        self.router.start()
        ends = self.record.now() + 20
        while not all(map(self.router.is_in_rotation, self.nodes)):
            if self.record.now() > ends:
                raise CannotRun(
                    "the nodes are not ready: "
                    + "; ".join(
                        (self._folder / f"{n.id}.log").read_text()[-200:]
                        for n in self.nodes
                        if not self.router.is_in_rotation(n)
                    )[:600]
                )
            await asyncio.sleep(0.1)
        self.record.say("all nodes in rotation", nodes=len(self.nodes))

    async def close(self):
        """Ends all processes that were started here."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        self.router.close()
        for group in self.requesters.values():
            group.close()
        for endpoint in self.endpoints:
            endpoint.close()
        await self.store.close()
        self.record.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self._folder)
        else:
            shutil.rmtree(self._folder)


async def _run(play, trouble, options):
    deployment = Deployment(**options)
    try:
        return await asyncio.wait_for(play(deployment, trouble), 110)
    finally:
        await deployment.close()


def main(play, **options):
    """Runs a case and exits: 1 if the rule was broken, 0 if it held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(_run(play, trouble, options))
    except Exception as error:
        print(f"the case couldn't run: {type(error).__name__}: {error}")
        raise SystemExit(2) from error
    print("the rule was broken" if broken else "the rule held")
    raise SystemExit(1 if broken else 0)
