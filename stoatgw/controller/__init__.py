"""The one task that owns the decision policy and the state of all requests, and what it is made of.

It promises one final answer for each request it took, also when the policy fails, and never two attempts of a request
at once. All else posts messages to its queue and is called back through protocols: lines, sockets and endpoint lists
are left to `clients`, `backends` and `discovery`, the choice of servers to `decisions`.
"""
