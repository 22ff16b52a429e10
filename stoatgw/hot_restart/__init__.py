"""Two processes of one proxy, one taking over from the other.

`inherited` adopts the clients' listening socket that the platform holds; `peers` tells which processes of this proxy
live, by a locked file each in the folder they share; `plan` decides, without IO, who of them accepts. Standing
connections are not handed over: the old process moves them.
"""
