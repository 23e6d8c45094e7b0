"""
chalkyoke.links

Framed msgpack streams between nodes.
"""
