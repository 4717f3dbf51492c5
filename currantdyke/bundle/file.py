"""Load the bundle from its file and put valid changes in force."""

import pathlib

import attrs
from absl import logging

from currantdyke.bundle.active import ActiveBundle
from currantdyke.bundle.schema import check_bundle

__all__ = ["READ_INTERVAL_SECONDS", "BundleFile"]

# A change of the file must be in force within a few seconds.
READ_INTERVAL_SECONDS = 2.0


@attrs.define(kw_only=True, eq=False)
class BundleFile:
    """Puts each valid content of a file in force as the next version.

    Invalid content changes nothing: the version in force stays.

    Attributes
    ----------
    path : Path
        The YAML file.
    active_bundle : ActiveBundle
        Receives the new versions.
    text : str or None
        The content that was last read, valid or not.
    problems : list of str
        What the last failed read found; empty once a new version is in force.
    """

    path: pathlib.Path
    active_bundle: ActiveBundle
    text: str | None = None
    problems: list[str] = attrs.field(factory=list)

    async def read(self) -> bool:
        """Read the file, and return whether a new version came into force."""
        try:
            text = self.path.read_text()
        except (OSError, UnicodeDecodeError) as error:
            self._report_problems([f"{error}; make the file readable"])
            return False
        if text == self.text:
            return False
        self.text = text
        checked = check_bundle(text)
        if checked.is_error():
            self._report_problems([str(problem) for problem in checked.error])
            return False
        self.problems = []
        version = self.active_bundle.version + 1
        self.active_bundle.activate(version, checked.ok)
        logging.info("%s: version %d is in force", self.path, version)
        return True

    def _report_problems(self, problems: list[str]) -> None:
        if problems == self.problems:
            return
        self.problems = problems
        version = self.active_bundle.version
        for problem in problems:
            logging.error("%s: version %d stays: %s", self.path, version, problem)
