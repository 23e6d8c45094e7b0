"""
chalkyoke.entry

Handles callers' requests: admission, dispatch, streaming and replay of kept answers.
"""
