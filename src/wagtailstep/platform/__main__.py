"""Start of the program: ``python -m wagtailstep.platform run`` or ``check``."""

import gc


def main() -> None:
    """Load the program without garbage collection, then run it.

    What is loaded never becomes garbage, and looking for garbage takes a sixth of
    the start. A daemon turns the collector on when it serves.
    """
    gc.disable()
    from wagtailstep.platform.program import main as run_program

    run_program()


if __name__ == "__main__":
    main()
