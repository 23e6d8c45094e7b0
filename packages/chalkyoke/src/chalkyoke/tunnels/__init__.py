"""
chalkyoke.tunnels

Connections to replicas by way of other hosts, for a host that has lost its own path to replicas.
"""
