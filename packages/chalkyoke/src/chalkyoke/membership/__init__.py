"""
chalkyoke.membership

Live hosts, their incarnations, and the owners of pools.
"""
