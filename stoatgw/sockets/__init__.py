"""The socket calls that all connections share.

`tcp` creates, accepts, writes and closes TCP sockets for the event loop, all of them non-blocking and with
`TCP_NODELAY`. It promises that a cancelled caller loses neither an accepted connection nor the knowledge of whether
a request was sent, and that a last line is not lost to a reset. What is sent and received is left to the protocols.
"""
