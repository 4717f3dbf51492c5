"""Run the command line with ``python -m currantdyke``."""

from currantdyke.cli.main import main

main()
