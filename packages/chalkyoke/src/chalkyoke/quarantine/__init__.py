"""
chalkyoke.quarantine

Quarantine of requests that end the replicas that run them. Such a request was running at the ends
of several replicas; all nodes hold it back.
"""
