"""Budgeted and jittered access to the platform's store."""
