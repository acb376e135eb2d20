"""Requests: choice of server, admission, verdicts and floods."""
