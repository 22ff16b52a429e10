"""Rolling maintenance coordinated by the proxies: takes machines out of service in turn, within the plan's limits.

`rollout_state` records the steps and `rollout_planner` plans the next one, both pure. Each proxy's `controller` reads
the state from the coordination engine, stops using the machines that are out of service and publishes which of them
are evacuated; the leader writes the next change with its fencing token. The plan's limits hold at all times, and each
machine has one step. Machines are restarted by staff or the platform; `membership` provides the leases.
"""
