"""Constants of the flows package."""

from typing import Final

# Records keep the time of the last packet in units of this length, so that a
# record fits a small integer.
TIME_UNIT_S: Final = 4.0

# A target that has not answered the first packet of a flow for this long
# does not hold the flow; a SYN is retransmitted for less time than that.
OPENING_TIMEOUT_S: Final = 20.0

# A first packet that the target has not answered for this long counts
# against the target's health. A balancer that dies on the packet's way is
# known to be dead before that.
HANDSHAKE_TIMEOUT_S: Final = 4.0

# Late packets of a closed flow find its record for this long. It exceeds the
# time over which a caller repeats a datagram or a FIN.
CLOSED_LINGER_S: Final = 60.0

# A flow passed on to the owners of other endpoints is looked for along the
# ranking until one of them reports that it has the flow.
PENDING_TIMEOUT_S: Final = 20.0

# Time in which the owners of other endpoints decide on a flow; between the
# second and third SYN of a caller (1 s and 3 s after the first).
PLACEMENT_WINDOW_S: Final = 2.5

# Calls of `expire` that look at all records once: 5 s at 10 calls a second,
# about the resolution of a record's time. With 2,048 records in each call,
# 11 targets of 3,478 flows took about a third of a core.
EXPIRE_PASS_CALLS: Final = 50
# Bounds of the records in one call: small tables are done sooner, and large
# ones do not hold up the loop.
EXPIRE_MIN_BATCH: Final = 64
EXPIRE_MAX_BATCH: Final = 2048

# Each receiver sends one packet of an active flow through the owner in a
# window, so that the owner's record does not expire.
REFRESH_SLOTS: Final = 1 << 17

# A reset of a flow without a record is passed on when it is repeated after
# this time, in which all balancers learn of a document or a member. It lies
# below the fourth retransmission of a caller (3.0 s with a timeout of 0.2 s).
RESET_CONFIRMATION_DELAY_S: Final = 2.5
RESET_RETENTION_S: Final = 60.0
MAX_UNCONFIRMED_RESETS: Final = 20_000

# A health endpoint may lag by 10 s, so idle slots count as evidence only
# after they were reported for longer than that.
RECOVERY_IDLE_S: Final = 12.0

# The first packet that renews a record in a window of this length renews it
# at the replica too, well before the idle timeout of a stream.
REPLICA_RENEWAL_WINDOW_S: Final = 300.0
