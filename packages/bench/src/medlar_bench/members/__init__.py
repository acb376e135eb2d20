"""Rows of membership, store access, control budgets and recovery."""
