"""
chalkyoke.quotas

Team quotas over all nodes: one home for each team leases cost ahead to the nodes that ask.
"""
