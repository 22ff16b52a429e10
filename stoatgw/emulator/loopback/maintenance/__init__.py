"""A rolling maintenance on loopback: real proxies and the emulated coordination engine as child processes, with faults.

`child_process` and `proxy_config` start the processes. `substitutes` has simulated session servers, discovery and the
links to the engine, and `clients` opens sessions at the proxies. `run` combines them, and simulates the operators who
restart machines. Results are observed outside of the proxies: in the engine's history, by the operators and by the
clients. The tests and the lab check them.
"""
