"""
chalkyoke.rollouts

Roll-outs: move a service's traffic to replicas of another version when operators order it. This
covers how much traffic the new version receives meanwhile, whether it is good, and when the order
is completed or rolled back.
"""
