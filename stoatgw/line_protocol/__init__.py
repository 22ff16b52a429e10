"""The line protocol between clients, proxy and session servers, without sockets.

`splitter` turns bytes into lines within a bound of memory, and `grammar` parses a line into a typed request or
reply and encodes the proxy's own answers. Malformed input never raises: it is a value that says what is wrong, and
the type says whose fault that is (`MalformedRequest`: the client's; `Keyword.OTHER`: the session server's). What to
do about it, timeouts and sockets are left to `stoatgw.clients` and `stoatgw.backends`.
"""
