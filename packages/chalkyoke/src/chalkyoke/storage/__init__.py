"""
chalkyoke.storage

What must last: the port to a key-value store, and the client for the product's own store format.
"""
