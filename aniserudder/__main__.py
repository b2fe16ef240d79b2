"""``python -m aniserudder``. A node on the platform has little memory: it starts without the other commands' libraries."""
import sys

if sys.argv[1:] == ["node"]:
    from .platform.signals import Signals

    signals = Signals().heed()  # before the imports, which take a while
    from .platform.node import run

    sys.exit(run(signals))

from .cli import main

main()
