"""``python -m aniserudder``."""
from .cli import main

main()
