"""
chalkyoke.scheduling

The pool scheduler: queue, placement, fairness and shedding.
"""
