"""Decisions of balancer and agent, free of I/O."""
