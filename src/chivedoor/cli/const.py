"""Constants of the command-line tools."""

import enum
from typing import Final


class ExitCode(enum.IntEnum):
    """Exit codes of `chivedoorctl`; part of its interface."""

    OK = 0
    FAULTS = 1
    USAGE = 2
    PARTLY_REACHED = 3
    NOT_REACHED = 4


KEY_VARIABLE: Final = "CHIVEDOOR_OPERATOR_KEY"
ADDRESS_VARIABLE: Final = "CHIVEDOOR_OPERATOR_ADDRESS"

# A balancer that takes longer is treated as not reachable.
COMMAND_TIMEOUT_S: Final = 5.0
# Balancers asked at the same time; 830 at once would need as many
# descriptors.
MAX_CONCURRENT_COMMANDS: Final = 64
# A domain command is in force everywhere within 3 s by design; the wait
# leaves room for balancers that are being replaced.
DEFAULT_WAIT_S: Final = 10.0
POLL_INTERVAL_S: Final = 0.1
# Balancers on which the command is not in force by then get it directly:
# they may be cut off from the others, but not from the operator.
RESEND_AFTER_S: Final = 2.0
