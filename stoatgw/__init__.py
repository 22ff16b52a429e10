"""stoatgw: a proxy that places long-lived exercise-session connections on session servers.

`service` runs it as a process and `decisions` contains its policy; `cli`, `lab` and `emulator` simulate it without a
platform. Nothing that the service imports may import the command line, the lab or the emulator.
"""

__version__ = "0.2.0"
