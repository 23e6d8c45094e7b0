"""
chalkyoke_fakes

Stand-ins for the platform and the upstreams, and a load tool, for tests, benches and the demo.
Each stand-in is a small process: ``python -m chalkyoke_fakes.store --address 127.0.0.1:9000``.
"""
