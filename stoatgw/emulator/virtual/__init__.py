"""The virtual driver: real controllers and balancers before the world model, in virtual time and in one process.

It holds the event loop that stands in for asyncio's, the proxies, and their sessions without sockets. It promises
repeatable runs. Sockets, processes and real time are left to the loopback driver.
"""
