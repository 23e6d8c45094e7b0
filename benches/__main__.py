"""
benches.__main__

``python -m benches --part path|policy|fleet|capacity|all``
"""

import argparse
import asyncio

from benches import capacity, fleet, gateway, path
from benches.policy import __main__ as policy


def main() -> None:
    """Run one part or all parts; ``path`` includes ``gateway``."""
    parser = argparse.ArgumentParser(description="Benchmarks of chalkyoke.")
    parser.add_argument(
        "--part", default="all", choices=["all", "path", "gateway", "policy", "fleet", "capacity"]
    )
    parsed = parser.parse_args()
    if parsed.part in ("all", "path"):
        asyncio.run(path.main())
        asyncio.run(gateway.main())
    if parsed.part == "gateway":
        asyncio.run(gateway.main())
    if parsed.part in ("all", "fleet"):
        asyncio.run(fleet.main())
    if parsed.part in ("all", "capacity"):
        asyncio.run(capacity.main())
    if parsed.part in ("all", "policy"):
        policy.main([])


if __name__ == "__main__":
    main()
