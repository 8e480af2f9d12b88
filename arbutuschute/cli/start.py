"""The start of ``arbutuschute-instance`` on the platform.

Imports make no garbage, but many objects that stay: without looking for
garbage among them the start takes less time, and later collections as well.
"""

import gc


def main():
    """Import the command with collections off, then run it."""
    gc.disable()
    from arbutuschute.cli import instance

    gc.freeze()
    gc.enable()
    instance.main()


if __name__ == '__main__':
    main()
