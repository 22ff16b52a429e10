"""The operators' second address: HTTP/1.1, one request to a connection.

`http` parses a request and `routes` says which operation it asks for, both without sockets; `listener` is the thin
part with them, and answers every complete request at once, whatever the load. What an operation does is left to a
`ManagementApi`, which `operations` implements on the proxy's parts.
"""
