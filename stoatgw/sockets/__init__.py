"""Socket operations that all connections share.

- `tcp` creates, connects, accepts, reads, writes and closes TCP sockets for the event loop, all of them non-blocking
  and with `TCP_NODELAY`. It guarantees that a cancelled caller neither loses an accepted connection nor is left unsure
  whether a request was sent, and that a last line is not lost to a reset. What is sent and received is left to the
  protocols.
- `watches` waits for a socket's next event, with a watch that is removed at that event.
- `transient` retries calls that fail with transient errors.
- `socket_state` queries the kernel for a connection's state without reading or writing.
"""
