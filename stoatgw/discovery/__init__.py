"""Service discovery: the list of session servers, kept up to date by a watch.

`client` keeps a watch open, and `publisher` holds the list and notifies the controller and the backends; `watch_call`,
`http`, `endpoint_list` and `backoff` contain one call, its HTTP response, the objects in that and the delays between
calls. The package guarantees that this proxy is notified of a change within `backoff.NOTIFICATION_DEADLINE_S` after
discovery has it, whichever call fails, and that an object which cannot be parsed changes nothing. The operators'
overrides are passed in as a function; server selection is left to `stoatgw.decisions`.
"""
