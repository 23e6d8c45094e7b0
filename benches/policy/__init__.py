"""
benches.policy

A simulation that runs the production scheduler over fake engines in virtual time and compares it
with baseline policies and with an upper bound.
"""
