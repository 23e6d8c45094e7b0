"""
benches

Measurements, run by ``make bench``.
"""
