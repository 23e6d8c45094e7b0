"""
chalkyoke.platform

The users' platform: its names, formats and calls, and nothing that makes decisions. Only the
start-up code imports this package.
"""
