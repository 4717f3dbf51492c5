"""Running the stages of a request under one deadline."""

from currantdyke.pipelines.run import RunParts, run_request

__all__ = ["RunParts", "run_request"]
