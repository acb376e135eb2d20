"""Whether a server may get new flows, by what its agent and others see.

Answers servers that fail, leave or are replaced. Agents and the membership
call it.
"""
