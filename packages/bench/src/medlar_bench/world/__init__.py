"""Real reducers run over the fakes, with simulated callers and servers.

Scenarios and benchmark rows share this package. It doesn't model a
cluster: it passes events to the reducers, carries out their effects and
records what callers and servers observe.
"""
