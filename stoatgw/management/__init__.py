"""The management address for operators: HTTP/1.1, one request per connection.

`http` parses a request and `routes` maps it to an operation, both without sockets. `listener` contains the socket code
and answers every complete request immediately, whatever the load. A `ManagementApi` carries the operations out;
`operations` implements it on the proxy's components.
"""
