"""
conftest

Every run of the tests reaches the same verdict: hypothesis is derandomized and has no deadline.
"""

from hypothesis import HealthCheck, settings

settings.register_profile(
    "same-verdict",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("same-verdict")
