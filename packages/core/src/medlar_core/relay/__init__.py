"""Relay of opaque flows: balancers choose agents, agents hold the flows."""
