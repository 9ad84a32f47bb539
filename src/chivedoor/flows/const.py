"""Constants of the flows package."""

from typing import Final

# Unit of the time of the last packet in a flow record. The coarse unit keeps a
# record within a small integer.
TIME_UNIT_S: Final = 4.0

# Time after which a flow is closed whose first packet the target has not
# answered. The target does not have such a flow: the time exceeds that for
# which a SYN is retransmitted.
OPENING_TIMEOUT_S: Final = 20.0

# Time after which an unanswered first packet counts against the target's
# health. It exceeds the time to detect the failure of a balancer on the path
# of the packet.
HANDSHAKE_TIMEOUT_S: Final = 4.0

# Time for which the record of a closed flow is kept for late packets. It
# exceeds the time for which a caller retransmits a datagram or a FIN.
CLOSED_LINGER_S: Final = 60.0

# Time for which a flow counts as pending after its first packet was forwarded
# to the owners of other endpoints. Its packets are looked up along the ranking
# until one of these owners reports that it has the flow.
PENDING_TIMEOUT_S: Final = 20.0

# Time given to the owners of other endpoints to place a flow. It ends between
# the second and the third SYN of a caller (1 s and 3 s after the first).
PLACEMENT_WINDOW_S: Final = 2.5

# Calls of `expire` for one pass over all records: 5 s at 10 calls a second,
# which is close to the time unit of a record. Checking 2,048 records in each
# call took about a third of a core for 11 targets with 3,478 flows each.
EXPIRE_PASS_CALLS: Final = 50
# Limits of the records checked in one call. The minimum completes small tables
# sooner; the maximum keeps large tables from blocking the event loop.
EXPIRE_MIN_BATCH: Final = 64
EXPIRE_MAX_BATCH: Final = 2048

# Slots of a refresh filter. The filter sends one packet of an active flow per
# window through the owner, so that the owner's record does not expire.
REFRESH_SLOTS: Final = 1 << 17

# Time after which a repeated reset of a flow without a record is passed to the
# caller. Within it, all balancers learn of a new document or member. It is
# shorter than the time of a caller's fourth retransmission (3.0 s with a
# timeout of 0.2 s).
RESET_CONFIRMATION_DELAY_S: Final = 2.5
RESET_RETENTION_S: Final = 60.0
MAX_UNCONFIRMED_RESETS: Final = 20_000

# Time for which a target must report idle slots before its recovery ends
# early. It exceeds the 10 s by which a health endpoint may lag.
RECOVERY_IDLE_S: Final = 12.0

# The first packet that renews a record in each window of this length also
# renews it at the replica, well before the idle timeout of a stream.
REPLICA_RENEWAL_WINDOW_S: Final = 300.0
