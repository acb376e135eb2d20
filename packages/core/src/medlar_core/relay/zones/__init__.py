"""Which availability zones and cold servers get new flows, and how many.

Answers operators who empty a zone and take it back, when its servers return
all at once, cold and idle. Agents and balancers call it.
"""
