"""
chalkyoke.discovery

Where upstreams and entry hosts are found: the client for the product's own host list format.
"""
