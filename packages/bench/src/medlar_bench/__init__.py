"""Measured rows with their bounds and baselines."""
