"""The relay's processes: sockets and HTTP around its decisions."""
