"""Hot restart: two processes of one proxy, one taking over from the other.

`socket_activation` adopts the clients' listening socket that the platform holds; `sibling_processes` finds the live
processes of this proxy by a locked file each in a shared folder; `handover` decides, without IO, which of them
accepts, and `hot_restart` carries that out. One process always accepts, also when any of them is killed. Established
sessions are not handed over: the old process migrates them.
"""

LISTEN_DESCRIPTOR_VARIABLE = "LB_LISTEN_FD"
"""The environment variable that names the inherited listening socket; hot restart is on where it is set."""
