"""
chalkyoke.quarantine

Requests that end the replicas that run them: found by what ran under the ends of several replicas,
and held back by all nodes.
"""
