"""How the operators' configuration reaches a process and comes in force.

Answers changes that reach processes at different times, and the start of
processes that know nothing yet. Balancers call it.
"""
