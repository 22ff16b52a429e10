"""The loopback driver: real proxy processes between simulated clients and servers on 127.0.0.0/8, in real time.

The simulated clients and servers speak the platform's protocol and follow the world model. A run writes the same event
log as the virtual driver, for the same checker. A run whose driver fell behind real time is reported as void.
docs/emulator.md lists what loopback runs cannot show.
"""
