"""
chalkyoke.balancing

The choice of a replica by one node alone: for plain services, and for model engines while no pool
scheduler answers or pool scheduling is switched off.
"""
