"""
chalkyoke.node

The node process, which runs all slices on one event loop.
"""
