"""
chalkyoke.gateway

Requests taken as they are, by host and path prefix, and passed on to one replica, whole and
unaltered, with its answer.
"""
