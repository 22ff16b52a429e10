"""Connections to backends, the session servers, over the line protocol.

`backend` keeps their addresses and drain times, `attempt` establishes a session and relays what the backend sends,
`health_check` requests load reports, and `latency` measures the latency of a session's messages. The package
guarantees that an attempt's outcome is a value, which contains the stage that the attempt reached, and that no request
is sent after the drain grace. Server selection and retries are left to `stoatgw.decisions` and `stoatgw.controller`,
the client's connection to `stoatgw.clients`.
"""
