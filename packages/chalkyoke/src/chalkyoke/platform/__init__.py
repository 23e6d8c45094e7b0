"""
chalkyoke.platform

Adapters for the users' platform: its names, formats and calls, without any decisions. Only the
start-up code imports this package.
"""
