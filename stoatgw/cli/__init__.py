"""The command line `stoatgw`: parses arguments, calls one function for each command, and prints its result.

Invalid arguments and input end a command with a one-line error and status 2. The lab, the service and the maintenance
do the work; the lab and the service are imported only when one of their commands runs.
"""
