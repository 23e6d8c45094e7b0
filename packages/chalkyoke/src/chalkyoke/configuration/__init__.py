"""
chalkyoke.configuration

Resources, selectors, revisions and how they spread.
"""
