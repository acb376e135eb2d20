"""The medlarstaged daemon: sockets, timers and HTTP around the reducers."""
