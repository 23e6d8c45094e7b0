"""
chalkyoke.decoding.bounds

Types of the numbers in documents and messages. Their bounds are part of the type, so a decoder
refuses a number that a message between nodes can't carry or that arithmetic can't use.
"""

import sys
from typing import Annotated

from msgspec import Meta

# Highest whole number that each JSON implementation represents exactly (RFC 8259, section 6).
MAX_INTEGER = 2**53 - 1
# Highest amount, such as a number of tokens or a rate per second.
MAX_AMOUNT = 1e15
MAX_DURATION_S = 366 * 86_400.0
MAX_DURATION_MS = MAX_DURATION_S * 1000
MAX_VERSION_CHARS = 200

# A whole number from 0.
Count = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
# A whole number with a sign.
Integer = Annotated[int, Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
# A hash of 64 bits, or a small negative number in its place.
Fingerprint = Annotated[int, Meta(ge=-MAX_INTEGER)]
# A finite number from 0.
Amount = Annotated[float, Meta(ge=0, le=MAX_AMOUNT)]
# A finite number with a sign.
Decimal = Annotated[float, Meta(ge=-MAX_AMOUNT, le=MAX_AMOUNT)]
# Any number but infinities and NaN.
Finite = Annotated[float, Meta(ge=-sys.float_info.max, le=sys.float_info.max)]
# A time span in seconds, and one in milliseconds.
Seconds = Annotated[float, Meta(ge=0, le=MAX_DURATION_S)]
Milliseconds = Annotated[float, Meta(ge=0, le=MAX_DURATION_MS)]
PositiveSeconds = Annotated[float, Meta(gt=0, le=MAX_DURATION_S)]
# A priority; 0 is the most urgent.
Rank = Annotated[int, Meta(ge=0, le=1_000_000)]
# Capacity of a host, in cores.
Capacity = Annotated[float, Meta(gt=0, le=1e6)]
# Number of replicas that one request may be sent to.
Attempts = Annotated[int, Meta(ge=0, le=1_000)]
# The version of a replica's software, as a number or as text.
Version = Integer | Decimal | Annotated[str, Meta(max_length=MAX_VERSION_CHARS)]
