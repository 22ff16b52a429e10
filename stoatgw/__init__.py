"""stoatgw: a proxy that places long-lived exercise-session connections on session servers.

`service` runs it as a process and `decisions` holds its policy; `cli`, `lab` and `emulator` play it without a platform.
Arrows of import go down only: nothing that the service imports knows of the command line, the lab or the emulator.
"""

__version__ = "0.2.0"
