"""The operators library and the medlarctl command."""
