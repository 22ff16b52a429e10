"""Health checks shared among proxies that reach one coordination engine: each server is checked by one for all.

`assignment` is pure: whose each server is, and when another proxy takes over; `checker` starts the checks, publishes
their results under its own lease, and posts the others' results to this proxy's controller. It promises that a server
is checked at least once in an interval, by two proxies at times; without the engine each proxy checks for itself.
"""
