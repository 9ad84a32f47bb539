"""Seeds that once broke a promise, with the causes.

A seed draws from the fault kinds in `faults`, so adding a kind changes the
faults of all seeds. Before adding one, run these seeds on the old code and
record the faults that they draw. Restorations of the store are drawn by a
generator of their own, so adding them left the other faults unchanged.
"""

import dataclasses
from typing import Final


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Regression:
    """A seed that once failed.

    Attributes:
        seed: The seed, with default values for all other options.
        cause: Cause of the failure.
    """

    seed: int
    cause: str


_SHARED_RATE = (
    "each failure domain applied the full warm-up rate to a cold endpoint"
)

REGRESSIONS: Final = (
    *(
        Regression(seed=seed, cause=_SHARED_RATE)
        for seed in (2, 6, 7, 16, 18, 21, 26)
    ),
    Regression(
        seed=46,
        cause="SIGTERM during startup ended a balancer without a log line",
    ),
    Regression(
        seed=123,
        cause="an endpoint restarted cold while the store was unreadable",
    ),
    Regression(
        seed=302,
        cause="the only responding endpoint restarted cold under the same id",
    ),
    Regression(
        seed=324,
        cause="resumed balancers placed queued flows based on an outdated view",
    ),
)
