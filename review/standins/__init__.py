"""Stand-ins for the review's scripts: store, router, servers and clients.

They use only the standard library and follow the users' PROTOCOL page.
"""
