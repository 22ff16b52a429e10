"""Entry point of `python -m stoatgw.simulator_wire`."""

import sys

from stoatgw.simulator_wire.host import main

if __name__ == "__main__":
    sys.exit(main())
