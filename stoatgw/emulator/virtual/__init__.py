"""The virtual driver: real controllers and balancers against the world model, in virtual time and in one process.

It contains the event loop that replaces asyncio's, the modelled proxies, and their sessions without sockets. Runs are
reproducible: the same scenario and seed give the same events. Sockets, processes and real time are covered by the
loopback driver.
"""
