"""Requests: verdicts, at-most-once runs, admission and server choice."""
