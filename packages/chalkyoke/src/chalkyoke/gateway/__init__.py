"""
chalkyoke.gateway

Gateway for plain HTTP requests: routes them by host and path prefix and forwards each one unaltered
to one replica, and the answer of the replica to the caller.
"""
