"""The line protocol between clients, proxy and session servers, without sockets.

`splitter` splits bytes into lines within bounded memory, and `grammar` parses a line into a typed request or reply and
encodes the proxy's own answers. Malformed input never raises: it is returned as a value that states what is wrong, and
whose type states who is at fault (`MalformedRequest`: the client; `Keyword.OTHER`: the session server). How to handle
it, timeouts and sockets are left to `stoatgw.clients` and `stoatgw.backends`.
"""
