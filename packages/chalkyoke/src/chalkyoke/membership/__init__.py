"""
chalkyoke.membership

Live hosts, their incarnations, and who owns which pool.
"""
