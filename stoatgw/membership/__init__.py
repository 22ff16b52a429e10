"""Duties that one proxy of several holds for a time: leases with fencing tokens.

`claim` is the holder's side as a pure state machine, `fence` the side of what is acted on. Where the leases are kept
(an engine's client) and which duties there are is left to others; nothing of it is loaded by `run`.
"""
