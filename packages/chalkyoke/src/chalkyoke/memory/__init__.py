"""
chalkyoke.memory

The account of the bytes that a host buffers, and the decisions that depend on it.
"""
