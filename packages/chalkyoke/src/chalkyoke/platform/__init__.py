"""
chalkyoke.platform

Adapters for the platform's key-value service and host list.
"""
