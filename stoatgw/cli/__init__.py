"""The command line `stoatgw`: it reads arguments, calls one function for each command, and prints what that gives.

Promises that whatever cannot be used ends in one line and status 2. The work itself is left to the lab, the service
and the maintenance; each is imported only when one of its commands runs.
"""
