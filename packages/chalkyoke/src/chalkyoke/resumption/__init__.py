"""
chalkyoke.resumption

The origins of streams: which software version of which service began a stream, so that a caller can
resume it at any node. A few nodes keep the origin of each stream in memory for as long as its
caller may resume it.
"""
