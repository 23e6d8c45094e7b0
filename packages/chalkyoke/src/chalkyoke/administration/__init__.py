"""
chalkyoke.administration

Events and metrics for operators.
"""
