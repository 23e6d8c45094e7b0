"""
chalkyoke.discovery

Discovery of upstreams and entry hosts: the client for the product's own host list format.
"""
