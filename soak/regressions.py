"""Seeds that broke a promise once, with their causes.

A seed draws its faults from the kinds in `faults`. When a kind is added there,
these seeds draw other faults; play them on the former code first, and note
what they drew.
"""

import dataclasses
from typing import Final


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Regression:
    """A seed that failed.

    Attributes:
        seed: The seed, with the defaults of the command line.
        cause: What was wrong.
    """

    seed: int
    cause: str


_SHARED_RATE = (
    "each failure domain opened flows to a cold endpoint at the whole rate"
)

REGRESSIONS: Final = (
    *(
        Regression(seed=seed, cause=_SHARED_RATE)
        for seed in (2, 6, 7, 16, 18, 21, 26)
    ),
    Regression(
        seed=46,
        cause="SIGTERM during the start ended a balancer without a line",
    ),
    # Not mended; see KNOWN-RED.txt.
    Regression(
        seed=123,
        cause="an endpoint restarted cold while the store could not be read",
    ),
    Regression(
        seed=302,
        cause="the only endpoint that answered restarted cold under its id",
    ),
    Regression(
        seed=324,
        cause="frozen balancers woke and placed waiting flows by an old view",
    ),
)
