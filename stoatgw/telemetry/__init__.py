"""What the proxy reports about itself: counters and metrics for operators, and the event log.

Each value is counted in one place, where the event occurs, and is read without waiting for any task. `management` and
`service` expose the values.
"""
