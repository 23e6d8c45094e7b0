"""
benches.policy

The real decision objects over small fake engines in virtual time, beside baselines and a bound.
"""
