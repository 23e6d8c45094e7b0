"""
chalkyoke.limits

Rate limits that replicas announce, in requests per second from all nodes together: their
distribution to all nodes, the keepers that count requests, and the permits to send.
"""
