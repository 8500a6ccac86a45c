"""Entry point of the program: ``python -m wagtailstep.platform run`` or ``check``."""

import gc
import signal


def main() -> None:
    """Import the program with garbage collection disabled, then run it.

    Imported modules never become garbage, and collections take a sixth of the startup
    time. The daemon enables the collector once it serves. What the imports leave over
    is collected before the daemon is created, which then reuses that memory and needs
    only a short collection when it starts to serve.
    """
    # Until the settings are read, a change of them needs no action.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    gc.disable()
    from wagtailstep.platform.program import main as run_program

    gc.collect()
    gc.freeze()
    run_program()


if __name__ == "__main__":
    main()
