"""The controller task, which owns the decision policy and the state of all requests.

Each accepted request gets exactly one final answer, even if the policy raises an exception, and has at most one attempt
in flight. Other tasks post messages to the controller's queue, and the controller calls them back through protocols.
The line protocol, sockets and endpoint lists belong to `clients`, `backends` and `discovery`, the selection of servers
to `decisions`.
"""
