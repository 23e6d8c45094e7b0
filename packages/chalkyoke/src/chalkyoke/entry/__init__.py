"""
chalkyoke.entry

Caller requests: admission, dispatch, streams and replay.
"""
