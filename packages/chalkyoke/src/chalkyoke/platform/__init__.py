"""
chalkyoke.platform

The platform's names, formats and calls, without decisions; only the start-up code imports it.
"""
