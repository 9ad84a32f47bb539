"""Constants of the routing package."""

from typing import Final

BUCKETS_PER_ENDPOINT: Final = 512
MAX_BUCKETS: Final = 4096

# Maximum number of buckets per endpoint, as a multiple of its fair share.
# Without this cap, the random distribution of buckets would unbalance targets.
BUCKET_SHARE_CAP: Final = 1.02

# Maximum number of endpoints whose owners are tried for a new flow. This limits
# the number of hops between balancers.
MAX_CANDIDATES: Final = 3

# Number of cached routing tables; each takes up to 32 KB.
TABLE_CACHE_SIZE: Final = 64

# Number of cached score arrays, one per endpoint; each takes up to 32 KB.
SCORE_CACHE_SIZE: Final = 128

# Separate seeds make the endpoint ranking independent of the flow hash.
FLOW_HASH_SEED: Final = 0x43484956
ENDPOINT_HASH_SEED: Final = 0x454E4450
OWNER_HASH_SEED: Final = 0x4F574E52
GENERATION_HASH_SEED: Final = 0x47454E52
