"""Small fakes of net, store, clock and server."""
