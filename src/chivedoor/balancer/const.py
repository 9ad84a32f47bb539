"""Constants of the balancer package."""

from typing import Final

# A packet that moved between balancers this often is dropped, so that
# different views of the fleet cannot make it circulate.
MAX_HOPS: Final = 6

# Owner and replica of a target.
OWNERS_PER_TARGET: Final = 2

# A mode `DIRECT` is announced only after this time without overrides, so
# that a target at its limit does not make its mode change with each flow.
SETTLE_S: Final = 3.0

# Flow keys in one reply to a pull; about 3 KB of CBOR.
PULL_BATCH: Final = 256

# Flow records of all targets of a balancer, when the settings give no limit.
MAX_FLOWS: Final = 400_000

# More than the members of the planned fleet, with their former lives.
FINGERPRINTS_KEPT: Final = 4096

# New flows a second that one balancer takes over all services, so that a
# flood leaves time for the packets of established flows.
NEW_FLOWS_PER_S: Final = 4000.0
