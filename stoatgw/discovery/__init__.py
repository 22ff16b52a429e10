"""Service discovery: the list of session servers, kept up to date by a watch.

`client` keeps a watch open and `publisher` holds the list and notifies the controller and the backends;
`watch_call`, `http`, `endpoint_list` and `backoff` are one call, its HTTP, its objects and the delays between
calls. The package promises that a change counts as notified within `backoff.NOTIFICATION_DEADLINE_S` of discovery
having it, whatever call fails, and that an object which cannot be parsed changes nothing. What the operators
override is handed in as a function; which server is selected is left to `stoatgw.decisions`.
"""
