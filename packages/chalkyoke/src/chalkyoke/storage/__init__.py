"""
chalkyoke.storage

The interface to a key-value store for persistent state, and the client for the configuration store.
"""
