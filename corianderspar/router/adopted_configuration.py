"""The configuration in force.

Its version never goes back within a process, although the store may return
from a copy that holds an older one. The operator then writes the lost
configuration again, under the same or a higher version.
"""

import enum

from corianderspar.router import model
from corianderspar.router import state_messages


class Outcome(enum.Enum):
    """What became of a configuration that was offered."""

    ADOPTED = 'adopted'
    REPLACED = 'replaced'  # the same version with another content
    KNOWN = 'known'
    OLDER = 'older'


class AdoptedConfiguration:
    """The configuration in force, and where it comes from.

    Attributes
    ----------
    configuration : Configuration or None
        None before the first.
    era : int
        Era of the store in which it was last read.
    digest : int
        As in `state_messages.EncodedConfiguration`; 0 for none.
    is_too_large : bool
        Whether it is too large for relays to send.
    is_partial : bool
        Whether it came from a build that knows of no cold engines.
    """

    def __init__(self) -> None:
        self.configuration: model.Configuration | None = None
        self.era = 0
        self.digest = 0
        self.is_too_large = False
        self.is_partial = False

    @property
    def version(self) -> int:
        """Version in force; 0 for none."""
        return self.configuration.version if self.configuration else 0

    def offer(
        self,
        configuration: model.Configuration,
        era: int,
        *,
        is_partial: bool = False,
    ) -> Outcome:
        """Adopt a configuration unless the one in force is as new.

        Of two configurations with the same version, the one read in the
        later era is newer.

        Parameters
        ----------
        configuration : Configuration
            The offered one.
        era : int
            Era in which it was read.
        is_partial : bool
            Whether it came from a build that knows of no cold engines. The
            whole one replaces it when it is read.
        """
        if is_partial:
            configuration = state_messages.keep_cold_state(
                configuration, self.configuration
            )
        if configuration.version < self.version:
            return Outcome.OLDER
        is_same_version = configuration.version == self.version
        completes = self.is_partial and not is_partial
        if is_same_version and era <= self.era and not completes:
            return Outcome.KNOWN
        encoded = state_messages.measure_configuration(configuration)
        self.era = max(era, self.era)
        if is_same_version and encoded.digest == self.digest:
            self.is_partial = self.is_partial and is_partial
            return Outcome.KNOWN
        self.is_partial = is_partial
        self.configuration = configuration
        self.digest = encoded.digest
        self.is_too_large = encoded.is_too_large
        return Outcome.REPLACED if is_same_version else Outcome.ADOPTED

    def is_behind(self, version: int, era: int, digest: int) -> bool:
        """Return whether a peer's configuration is newer than this one."""
        if version != self.version:
            return version > self.version
        return era > self.era and digest != self.digest
