"""Backends: the session servers as this process reaches them over the line protocol.

`backend` keeps where they are and since when they drain, `attempt` is one attempt at establishing a session and the
relay behind it, `health_check` asks for load reports, and `latency` times a session's lines. The package promises
that an attempt's end is a value which says how far it had come, and that no request is sent after the drain grace.
Which server is selected and whether an attempt is retried are left to `stoatgw.decisions` and `stoatgw.controller`,
the client's side to `stoatgw.clients`.
"""
