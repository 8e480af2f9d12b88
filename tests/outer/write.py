"""Rewrite samples: ``python -m tests.outer.write GROUP...``."""

import sys

from tests.outer import surface


def main():
    """Write the groups that are named."""
    for group in sys.argv[1:]:
        surface.find_sample(group).write_text(surface.render(group))


if __name__ == '__main__':
    main()
