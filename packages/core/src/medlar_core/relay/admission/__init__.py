"""Which new flows a server starts, which wait, and which are refused.

Answers more callers than slots: bursts of one priority, all servers cold at
once, callers of several seconds that come together. The agent of a server
calls it, as it alone starts work there. Unlike ``medlar_core.requests``'s
``admission.py``, which runs requests that it can read, it holds back SYNs and
knows of a flow only what its route and its packets' headers tell.
"""
