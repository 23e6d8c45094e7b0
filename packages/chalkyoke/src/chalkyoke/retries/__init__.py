"""
chalkyoke.retries

The fleet's budget for sending requests to a second replica, kept without messages between nodes.
"""
