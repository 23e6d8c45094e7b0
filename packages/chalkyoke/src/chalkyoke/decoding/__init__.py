"""
chalkyoke.decoding

Decode bytes that others have written: the store's documents, frames of peers, answers of upstreams
and requests of callers. Whatever is wrong with the bytes is a value, not an exception.
"""
