"""Reads KNOWN-RED.txt, the list of tests that fail because of open faults."""

import dataclasses
import pathlib

PATH = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
_FIELDS = ("test", "command", "seed", "seen", "issue")


class KnownRedError(Exception):
    """An entry of KNOWN-RED.txt is malformed."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """A known failure; `test` is a pytest node id or names another run."""

    test: str
    command: str
    seed: str
    seen: str
    issue: str


def parse_entries(text: str) -> list[Entry]:
    """Parses blocks of `field: value` lines separated by blank lines.

    Raises:
      KnownRedError: A block does not have exactly the fields of an entry.
    """
    return [
        _parse_block(block) for block in text.split("\n\n") if block.strip()
    ]


def _parse_block(block: str) -> Entry:
    pairs = [
        line.partition(":")
        for line in block.strip().splitlines()
        if not line.startswith("#")
    ]
    values = {name.strip(): value.strip() for name, _, value in pairs}
    if len(pairs) != len(_FIELDS) or set(values) != set(_FIELDS):
        raise KnownRedError(block)
    return Entry(**values)


def load_entries() -> list[Entry]:
    """Returns the entries of the repository's KNOWN-RED.txt."""
    return parse_entries(PATH.read_text())
