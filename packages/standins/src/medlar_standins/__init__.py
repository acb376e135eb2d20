"""Stand-ins of store, fabric, server and callers."""
