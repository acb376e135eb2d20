"""Which agent's server holds an open flow.

Answers packets that reach an agent or a balancer that does not know their
flow, and says what proves that no server holds it.
"""
