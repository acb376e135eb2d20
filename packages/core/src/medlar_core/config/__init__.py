"""Configuration: its schema, changes and how it spreads."""
