"""The loopback driver: real proxies as processes before simulated servers and clients on 127.0.0.0/8, in real time.

The simulated parties speak the platform's protocol and follow the world model; the same event log goes to the same
checker. It promises that a run whose driver was late says so and is void. What loopback cannot show is listed in
docs/emulator.md.
"""
