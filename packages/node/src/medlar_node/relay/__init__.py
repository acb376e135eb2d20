"""Processes of the relay: sockets, HTTP, logs and metrics.

Routing decisions are made by the reducers of ``medlar_core.relay``.
"""
