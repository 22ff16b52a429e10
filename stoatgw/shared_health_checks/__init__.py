"""Health checks shared among the proxies of one coordination engine: one proxy checks a server on behalf of all.

`assignment` is pure: it assigns servers to proxies, and decides when another proxy takes over. `checker` starts the
checks, publishes their results under its lease, and posts the other proxies' results to this proxy's controller. A
server is checked at least once in an interval, at times by two proxies; without the engine each proxy checks alone.
"""
