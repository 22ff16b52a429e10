"""Start the simulator's side: `python -m stoatgw.simwire`."""

import sys

from stoatgw.simwire.host import main

if __name__ == "__main__":
    sys.exit(main())
