"""
chalkyoke.upstreams

Adapters for model engines and plain services.
"""
