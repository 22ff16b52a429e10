"""The socket calls that all connections share.

- `tcp` creates, accepts, reads, writes and closes TCP sockets for the event loop, all of them non-blocking and with
  `TCP_NODELAY`. It promises that a cancelled caller loses neither an accepted connection nor the knowledge of whether a
  request was sent, and that a last line is not lost to a reset. What is sent and received is left to the protocols.
- `watches` waits for a socket's next event, with watches that outlive no event.
- `transient` repeats calls that fail for a moment.
- `socket_state` asks the kernel for a connection's state without reading or writing.
"""
