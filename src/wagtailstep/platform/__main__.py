"""Entry point of the program: ``python -m wagtailstep.platform run`` or ``check``."""

import gc


def main() -> None:
    """Import the program with garbage collection disabled, then run it.

    Imported modules never become garbage, and collections take a sixth of the startup
    time. The daemon enables the collector once it serves.
    """
    gc.disable()
    from wagtailstep.platform.program import main as run_program

    run_program()


if __name__ == "__main__":
    main()
