"""The medlarstaged daemon: sockets around the decisions."""
