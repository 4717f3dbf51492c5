"""Run the benchmark: ``python -m currantdyke.benches.decisions``."""

from currantdyke.benches.decisions.command import main

if __name__ == "__main__":
    main()
