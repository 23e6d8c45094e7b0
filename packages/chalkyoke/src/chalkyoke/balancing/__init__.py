"""
chalkyoke.balancing

Replica selection by a single node: for plain services, and for model engines while no pool
scheduler answers or pool scheduling is switched off.
"""
