"""Leases in a coordination engine (etcd): leader election and membership of proxies, with fencing tokens.

`lease_state` is the holder's pure state machine and `lease_holder` sends its calls; `fencing` models the check at the
written resource; `reconcile_loop` is the polling loop of the packages that use leases; `rendezvous` assigns items to
members. At most one holder of a lease may write at a time. What is elected and written is up to those packages.
"""
