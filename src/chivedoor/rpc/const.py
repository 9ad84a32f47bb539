"""Constants of the request and reply protocol."""

from typing import Final

# The settings require peer and operator keys of at least 16 bytes; keyed
# BLAKE2b accepts at most 64.
MIN_KEY_BYTES: Final = 16
MAX_KEY_BYTES: Final = 64
# The current key and, during a rotation, a second one.
MAX_KEYS: Final = 2

NONCE_BYTES: Final = 32
KEY_ID_BYTES: Final = 8
PROOF_BYTES: Final = 32
FRAME_TAG_BYTES: Final = 16
FRAME_COUNTER_BYTES: Final = 8
MAX_MEMBER_ID_BYTES: Final = 128

# Handshake messages are shorter than 256 bytes. A message above this limit from
# an unauthenticated peer is rejected before it is buffered.
MAX_HANDSHAKE_BYTES: Final = 512
# A document has at most 1 MB; the remaining 64 KB are for the envelope.
MAX_MESSAGE_BYTES: Final = 1_048_576 + 65_536
MAX_MESSAGE_DEPTH: Final = 24
MIN_INTEGER: Final = -(2**63)
MAX_INTEGER: Final = 2**64 - 1

HANDSHAKE_TIMEOUT_S: Final = 2.0
CLOSE_TIMEOUT_S: Final = 0.5
# Longer than the interval between pulls from one owner, so that successive
# pulls reuse a connection.
LINK_IDLE_TIMEOUT_S: Final = 30.0
IDLE_CHECK_INTERVAL_S: Final = 5.0
REQUEST_TIMEOUT_S: Final = 5.0
# Clients close idle connections after `LINK_IDLE_TIMEOUT_S`. The server's limit
# is longer and covers clients that disappeared without closing.
SERVER_IDLE_TIMEOUT_S: Final = 2 * LINK_IDLE_TIMEOUT_S
# A reply stays in memory while the peer does not read it.
SEND_TIMEOUT_S: Final = 30.0

# Connections that this balancer opens. Pulls go to the owners of the endpoints
# of one service, for which 64 connections usually suffice. At the limit, a new
# connection replaces the least recently used idle one.
MAX_OUTGOING_LINKS: Final = 64
# Connections that this balancer accepts. When a failure domain of the planned
# fleet rejoins, its members (about 210) can pull from one balancer at once.
MAX_INCOMING_LINKS: Final = 256
MAX_OPERATOR_LINKS: Final = 16
# Connections with an incomplete handshake. The separate limit keeps
# unauthenticated clients from using up the connections of members.
MAX_PENDING_HANDSHAKES: Final = 64
# Concurrent requests on one connection and on all connections. Requests above
# these limits are refused.
MAX_LINK_REQUESTS: Final = 32
MAX_REQUESTS: Final = 256
# Only `MAX_LARGE_REPLIES` encoded replies above this size are held in memory
# at a time: 256 small replies and 4 large ones stay under 21 MB.
LARGE_REPLY_BYTES: Final = 65_536
MAX_LARGE_REPLIES: Final = 4
# Frames buffered for each connection before TCP flow control takes effect.
RECEIVE_QUEUE_FRAMES: Final = 4

# Overhead of a short message: 52 bytes of IP and TCP headers with options, 8 of
# websocket framing, and 24 of frame counter and tag.
FRAME_OVERHEAD_BYTES: Final = 84
# Traffic of opening a connection: about 600 bytes of HTTP and handshake
# messages, and 11 segments in both directions.
LINK_SETUP_BYTES: Final = 1_200
PACING_CHUNK_BYTES: Final = 1_024

# A close code from the range that RFC 6455 reserves for applications, and the
# registered code "try again later".
CLOSE_CODE_NOT_AUTHENTICATED: Final = 4401
CLOSE_CODE_TRY_LATER: Final = 1013

MAX_ERROR_TEXT_CHARS: Final = 500
