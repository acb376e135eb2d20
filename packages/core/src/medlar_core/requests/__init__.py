"""Requests: verdicts, at-most-once, admission and choice of servers."""
