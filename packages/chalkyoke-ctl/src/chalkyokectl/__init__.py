"""
chalkyokectl

The operators' command line of chalkyoke.
"""
