"""In-memory fakes of the network, store, clock and server."""
