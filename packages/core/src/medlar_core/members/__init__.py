"""Membership: which processes exist, their state and their liveness."""
