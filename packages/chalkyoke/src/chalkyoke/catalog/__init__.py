"""
chalkyoke.catalog

What operators and replicas declare: routes, services, teams, limits and replicas, as they are in
force on this node, and how nodes tell each other of them.
"""
