"""
chalkyoke.limits

How many requests a second a replica takes from all nodes together, by its own word: who knows it,
who counts, and how a node gets permission to send.
"""
