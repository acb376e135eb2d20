"""The commands of medlarctl, one a module."""
