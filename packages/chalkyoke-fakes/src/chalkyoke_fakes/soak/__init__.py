"""
chalkyoke_fakes.soak

Random faults from outside against real node processes, while clients ask; what must always hold is
checked from what callers and replicas saw.
"""
