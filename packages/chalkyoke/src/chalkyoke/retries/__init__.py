"""
chalkyoke.retries

How often a request may be sent to a second replica, kept without a call between nodes.
"""
