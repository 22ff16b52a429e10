"""What the proxy reports about itself: counters and metrics for operators, and the event log.

Each figure is counted once, where the thing happens, and read without waiting for any task. How the figures reach
anybody is left to `management` and to `service`.
"""
