"""Leases in a coordination engine: leadership and membership that one proxy holds for a time, under fencing tokens.

`lease_state` is the holder's side as a pure state machine, `lease_holder` carries it out by calls, `fencing` is the
side that is written to, `reconcile_loop` the polling loop of whoever uses them, and `rendezvous` assigns items to
members. It promises that no two holders of a lease write at once; what is elected and written is left to its users.
"""
