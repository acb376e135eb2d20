"""Routing of flows: buckets, owners, directories and filters."""
