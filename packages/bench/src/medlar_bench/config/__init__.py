"""Rows of the configuration."""
