"""Real reducers over the fakes, with callers and servers around them.

Scenarios and rows share it. It models no cluster: it hands events to the
reducers, carries out their effects and counts what callers and servers
saw.
"""
