"""Time line of a process, and merging the time lines of processes."""
