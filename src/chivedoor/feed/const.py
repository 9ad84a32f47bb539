"""Constants of the package."""

from typing import Final

# A waiting read returns at least this often, which shows that the connection
# still works. Configurations have to be in force 3 s after their
# acknowledgement on the known sites.
WATCH_WAIT_S: Final = 1.0
# Allowed for the answer beyond the wait; the store answers in 4 ms.
WATCH_SLACK_S: Final = 0.5
READ_TIMEOUT_S: Final = 1.0
CONNECT_TIMEOUT_S: Final = 0.5
# Changes arrive in groups; a pause gathers a group into one call.
WATCH_PAUSE_S: Final = 0.05

RETRY_FIRST_S: Final = 0.1
RETRY_FACTOR: Final = 2.0
RETRY_LIMIT_S: Final = 1.0
# Retries of all balancers are spread over this part of the delay.
RETRY_JITTER: Final = 0.5
