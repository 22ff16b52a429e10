"""A rolling maintenance on loopback: real proxies and the emulated engine as child processes, faults in between.

`child_process` and `proxy_config` start the processes; `substitutes` are session servers, discovery and the links to
the engine; `clients` use the fleet; `run` is all of it together, with the staff who work on machines. What happened is
read from others than the proxies (engine's history, staff, clients); what must hold is left to the tests and the lab.
"""
