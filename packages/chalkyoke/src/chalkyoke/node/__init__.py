"""
chalkyoke.node

One process: the slices put together over one event loop.
"""
