"""
chalkyoke_fakes.soak

Inject random faults from outside into real node processes while callers send requests, and check
the system's promises from the records of callers and replicas.
"""
