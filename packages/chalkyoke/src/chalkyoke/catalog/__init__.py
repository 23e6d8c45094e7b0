"""
chalkyoke.catalog

The routes, services, teams and limits that operators declare and the replicas that register, as in
force on this node, and their propagation between nodes.
"""
