"""Routing of flows: bucket tables, flow state, lookups and hints."""
