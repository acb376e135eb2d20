"""Events of one process and how time lines merge."""
