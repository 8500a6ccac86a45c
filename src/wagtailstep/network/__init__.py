"""Network adapters: they turn I/O into events and effects into I/O."""
