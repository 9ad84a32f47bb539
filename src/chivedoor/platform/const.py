"""Constants of the platform's formats."""

from typing import Final

HEADER_BYTES: Final = 32

FLAG_OPEN: Final = 128
FLAG_FINISH: Final = 64
FLAG_RESET: Final = 16

# A configuration holds at most 1 MiB, which base64 and a page around it
# enlarge to less than this.
MAX_BODY_BYTES: Final = 4 * 1024 * 1024
