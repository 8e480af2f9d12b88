"""Run the operator's command: ``python -m arbutuschute``."""

from arbutuschute.cli import definition


def main():
    """Run the operator's command."""
    definition.arbutuschute()


if __name__ == '__main__':
    main()
