"""Membership: who serves, judged by those who talk to it."""
