"""Relaying of opaque flows: balancers choose, agents hold and return."""
