"""A rolling maintenance that the proxies carry out by themselves: one machine after the other, never too many out.

`rollout_state` is what has been done and `rollout_planner` the next step, both pure; each proxy's `controller` reads
the state from the coordination engine, takes machines out of its own service and publishes which are evacuated, and the
leader writes the next step under its fencing token. It promises the plan's bounds and one step for each machine;
restarting machines is left to staff or the platform, and the leases to `membership`.
"""
