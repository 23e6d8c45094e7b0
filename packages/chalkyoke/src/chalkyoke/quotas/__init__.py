"""
chalkyoke.quotas

Team quotas over all nodes: one owner for each team leases cost ahead to the nodes that ask.
"""
