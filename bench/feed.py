"""Sizes and times of configurations: python -m bench.feed [options].

Prints what a configuration takes on the wire, whole and as a difference, and
from that how long it takes to be in force behind a slow link: read from the
store, sent by a fast reader, and sent by a reader whose link is slow, too.
"""

import argparse
from collections.abc import Sequence
import json
import random
import string
import sys
import time

from chivedoor import ids
from chivedoor.feed import const
from chivedoor.feed import messages
from chivedoor.feed import records
from chivedoor.platform import items
from standins.echo import entries


def make_configuration(routes: int, version: int) -> bytes:
    """Returns a configuration with random names; one depends on the version."""
    generator = random.Random(1)
    names = [
        "r-"
        + "".join(
            generator.choices(string.ascii_lowercase + string.digits, k=7)
        )
        for _ in range(routes)
    ]
    names[routes // 2] = f"r-version-{version}"
    # As in the known deployments, each route also has limits and a goal.
    fields = {
        "timeout_ms": 2178,
        "target_latency_ms": 326,
        "priority": 2,
        "max_attempts": 2,
    }
    return json.dumps(
        entries.make_configuration(
            version=version,
            routes=[
                entries.make_route(
                    name=name,
                    address=(f"198.18.{number // 250}.{number % 250}", 443),
                    service="huvo11a",
                    kind="idempotent",
                )
                | fields
                for number, name in enumerate(names)
            ],
            services=["huvo11a"],
            warmup_per_s=0.0,
        ),
        separators=(",", ":"),
    ).encode()


def make_batch(value: bytes, number: int) -> records.Batch:
    """Returns a batch that holds a configuration."""
    revision = records.Revision(era=ids.Era(1), number=number)
    record = records.Record(
        key=entries.CONFIGURATION_KEY, value=value, revision=revision
    )
    return records.Batch(records=(record,), revision=revision, complete=False)


def measure(
    *, routes: int, slow_mbps: float, fast_mbps: float, subscribers: int
) -> dict[str, float]:
    """Returns sizes in bytes and durations in seconds by their description."""
    former = make_configuration(routes, 1)
    value = make_configuration(routes, 2)
    batch = make_batch(value, 2)
    started_at = time.perf_counter()
    whole = messages.encode_batch(batch, {})
    whole_at = time.perf_counter()
    difference = messages.encode_batch(
        batch, {entries.CONFIGURATION_KEY: former}
    )
    difference_at = time.perf_counter()
    frame = messages.encode_frame(
        records.Feed.CONFIGURATION, difference, age_s=0.0, sent_at=0.0
    )
    messages.decode_frame(
        frame[const.FRAME_HEADER_BYTES :], {entries.CONFIGURATION_KEY: former}
    )
    items.decode_record(batch.records[0], 0.0)
    decoded_at = time.perf_counter()
    sent_bytes = len(value) * 4 / 3
    whole_bytes = len(whole.encoded_records)
    slow_bytes_per_s = slow_mbps * 1e6 / 8
    fast_bytes_per_s = fast_mbps * 1e6 / 8
    return {
        "configuration, bytes": len(value),
        "response of the store, bytes": round(sent_bytes),
        "frame with the whole value, bytes": whole_bytes,
        "frame with a difference, bytes": len(difference.encoded_records),
        "encode whole, s": whole_at - started_at,
        "encode difference, s": difference_at - whole_at,
        "decode, s": decoded_at - difference_at,
        "own read, slow link, s": sent_bytes / slow_bytes_per_s,
        "two own reads, slow link, s": 2 * sent_bytes / slow_bytes_per_s,
        "own read, fast link, s": sent_bytes / fast_bytes_per_s,
        "fast reader to all subscribers, s": max(
            whole_bytes * subscribers / fast_bytes_per_s,
            whole_bytes / slow_bytes_per_s,
        ),
        "slow reader to all subscribers, s": (
            whole_bytes * subscribers / slow_bytes_per_s
        ),
        "incompressible, fast reader to all subscribers, s": max(
            len(value) * subscribers / fast_bytes_per_s,
            len(value) / slow_bytes_per_s,
        ),
        "reader lost: until its frames are missed, s": (
            const.READER_TIMEOUT_S + const.COORDINATION_INTERVAL_S
        ),
        "reader lost: until the store is read, s": (
            const.SELF_READ_VIEW_AGE_S + const.COORDINATION_INTERVAL_S
        ),
    }


def main(arguments: Sequence[str] | None = None) -> int:
    """Prints the measurements; returns the exit status."""
    parser = argparse.ArgumentParser(
        prog="python -m bench.feed", description=__doc__
    )
    parser.add_argument("--routes", type=int, default=5800)
    parser.add_argument("--slow-mbps", type=float, default=5.0)
    parser.add_argument("--fast-mbps", type=float, default=100.0)
    parser.add_argument("--subscribers", type=int, default=26)
    options = parser.parse_args(arguments)
    for name, value in measure(**vars(options)).items():
        sys.stdout.write(f"{name}: {value:,.6g}\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
