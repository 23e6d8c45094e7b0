"""
chalkyoke.administration

Operator API, events and metrics.
"""
