"""The operators' second address: HTTP/1.1, one call to a connection.

`http` reads a call and `calls` says which it is, both without sockets; `listener` is the thin part with them, and
answers every whole call at once, whatever else is held. What a call does is left to a `Desk`, which the service wires.
"""
