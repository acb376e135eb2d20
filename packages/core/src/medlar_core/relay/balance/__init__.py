"""Which server gets a new flow, and what is known of the servers' load.

Answers short work at many servers that many agents choose among at once, by
figures that are a little old. The placement of new flows calls it. The
choice of balancers for whole requests is in :mod:`medlar_core.requests`.
"""
