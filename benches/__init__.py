"""
benches

Benchmarks of chalkyoke, run by ``make bench``.
"""
