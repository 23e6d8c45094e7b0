"""
chalkyoke.__main__

The command ``chalkyoke``; the same as ``python3 -m chalkyoke``.
"""

from chalkyoke import startsignals


def main() -> None:
    """Run the command line."""
    # Signals that come during the imports of the command line would end the process otherwise.
    startsignals.prepare_command()
    from chalkyoke import cli

    cli.main()


if __name__ == "__main__":
    main()
