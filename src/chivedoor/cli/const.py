"""Constants of the command-line tools."""

import enum
from typing import Final


class ExitCode(enum.IntEnum):
    """Exit codes of `chivedoorctl`, which are part of its interface."""

    OK = 0
    FAULTS = 1
    USAGE = 2
    PARTLY_REACHED = 3
    NOT_REACHED = 4


KEY_VARIABLE: Final = "CHIVEDOOR_OPERATOR_KEY"
ADDRESS_VARIABLE: Final = "CHIVEDOOR_OPERATOR_ADDRESS"

# A balancer that takes longer to reply counts as unreachable.
COMMAND_TIMEOUT_S: Final = 5.0
# An edge balancer explains placements on its metrics port, which
# docs/OPERATIONS.md gives.
EXPLANATION_ADDRESS: Final = "127.0.0.1:9464"
EXPLANATION_PATH: Final = "/explain"
# Limits open connections, since 830 balancers at once would need 830 file
# descriptors.
MAX_CONCURRENT_COMMANDS: Final = 64
# A domain command is designed to take effect on all balancers within 3 s; the
# margin allows for balancers that are being replaced.
DEFAULT_WAIT_S: Final = 10.0
POLL_INTERVAL_S: Final = 0.1
# Balancers on which the command is not in force by then receive it directly,
# since they may be partitioned from the others but not from the operator.
RESEND_AFTER_S: Final = 2.0
