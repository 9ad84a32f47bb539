"""Constants of requests and replies."""

from typing import Final

# Peer and operators' keys: the settings demand at least 16 bytes, and keyed
# BLAKE2b takes at most 64.
KEY_MIN_BYTES: Final = 16
KEY_MAX_BYTES: Final = 64
# One key in force and the previous one while a rotation is under way.
KEYS_MAX: Final = 2

NONCE_BYTES: Final = 32
KEY_ID_BYTES: Final = 8
PROOF_BYTES: Final = 32
FRAME_TAG_BYTES: Final = 16
FRAME_COUNTER_BYTES: Final = 8
MEMBER_ID_MAX_BYTES: Final = 128

# A handshake message is under 256 bytes; anything longer from a peer that
# has not proved its key is refused before it is buffered.
HANDSHAKE_MAX_BYTES: Final = 512
# A document holds at most 1 MB; the rest is room for the envelope.
MESSAGE_MAX_BYTES: Final = 1_048_576 + 65_536
MESSAGE_DEPTH_MAX: Final = 24
INTEGER_MIN: Final = -(2**63)
INTEGER_MAX: Final = 2**64 - 1

HANDSHAKE_TIMEOUT_S: Final = 2.0
CLOSE_TIMEOUT_S: Final = 0.5
# Longer than the interval between pulls of one owner, so that repeated
# pulls share a connection.
LINK_IDLE_TIMEOUT_S: Final = 30.0
IDLE_CHECK_INTERVAL_S: Final = 5.0
REQUEST_TIMEOUT_S: Final = 5.0
# Clients close idle connections after `LINK_IDLE_TIMEOUT_S`. The server's limit
# is longer and covers clients that vanished without closing.
SERVER_IDLE_TIMEOUT_S: Final = 2 * LINK_IDLE_TIMEOUT_S
# A peer that does not read its reply holds the reply's memory.
SEND_TIMEOUT_S: Final = 30.0

# Connections that this balancer opens. Pulls go to the owners of one
# service's endpoints, so 64 covers the usual service; the least recently
# used idle connection gives way to a new one.
OUTGOING_LINKS_MAX: Final = 64
# Connections that this balancer accepts; a rejoining failure domain of the
# planned fleet (about 210 members) can pull from one balancer at once.
INCOMING_LINKS_MAX: Final = 256
OPERATOR_LINKS_MAX: Final = 16
# Connections whose handshake is not complete, so that strangers cannot take
# the places of members.
PENDING_HANDSHAKES_MAX: Final = 64
# Requests under way on one connection and on all of them; above these the
# answer is a refusal.
LINK_REQUESTS_MAX: Final = 32
REQUESTS_MAX: Final = 256
# Encoded replies above this size are held in memory one by one: 256 small
# replies and 4 large ones stay under 21 MB.
LARGE_REPLY_BYTES: Final = 65_536
LARGE_REPLIES_MAX: Final = 4
# Frames buffered for one connection before TCP flow control applies.
RECEIVE_QUEUE_FRAMES: Final = 4

# Headers of a short message: IP and TCP with options 52, websocket 8, counter
# and tag 24.
FRAME_OVERHEAD_BYTES: Final = 84
# Opening a connection: about 600 bytes of HTTP and handshake messages and 11
# segments in both directions.
LINK_SETUP_BYTES: Final = 1_200
PACING_CHUNK_BYTES: Final = 1_024

# Close codes from the range that RFC 6455 leaves to applications, and "try
# again later".
CLOSE_CODE_NOT_AUTHENTICATED: Final = 4401
CLOSE_CODE_TRY_LATER: Final = 1013

ERROR_TEXT_MAX_CHARS: Final = 500
