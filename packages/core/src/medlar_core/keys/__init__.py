"""Authentication of control messages."""
