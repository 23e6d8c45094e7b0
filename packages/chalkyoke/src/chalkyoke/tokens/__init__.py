"""
chalkyoke.tokens

Request tokens and their one-way life cycle.
"""
