"""Track whether a group of VMs agrees on a state and which VMs left it."""

from collections.abc import Hashable
from collections.abc import Iterable

UNSEEN_VMS = ''  # stands for VMs that may have left before tracking began


class AgreementTracker:
    """Determines when no VM can use an older state any more.

    Parameters
    ----------
    started : float
        Monotonic seconds; VMs that left the group before then are unknown.
    """

    def __init__(self, started: float) -> None:
        self._agreed_since = float('inf')
        self._key: Hashable = None
        self._seen: set[str] = set()
        self._left_at_by_vm = {UNSEEN_VMS: started}

    def update(
        self, now: float, key: Hashable, listed: set[str], is_agreed: bool
    ) -> None:
        """Record the current state of the group.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        key : hashable
            Identifies the newest state known here.
        listed : set of str
            The VMs of the group, as the platform lists them.
        is_agreed : bool
            Whether each of them has adopted that state.
        """
        self._seen |= listed
        for vm in listed & self._left_at_by_vm.keys():
            del self._left_at_by_vm[vm]
        if not is_agreed:
            self._agreed_since = float('inf')
            return
        if key != self._key or self._agreed_since == float('inf'):
            self._key = key
            self._agreed_since = now
        # All listed VMs have this list now, so none of them confirms the
        # lease of a VM that is not on it any more.
        for vm in self._seen - listed:
            self._left_at_by_vm.setdefault(vm, now)

    def reset(self, now: float) -> None:
        """Assume that unseen VMs joined and left the group until now."""
        self._left_at_by_vm[UNSEEN_VMS] = now
        self._agreed_since = float('inf')

    def forget(self, vms: Iterable[str]) -> None:
        """Drop VMs that cannot hold a share any more."""
        for vm in vms:
            self._seen.discard(vm)
            self._left_at_by_vm.pop(vm, None)

    def expired(self, now: float, lease: float) -> list[str]:
        """Return the VMs that left at least `lease` seconds ago."""
        return [
            vm
            for vm, left_at in self._left_at_by_vm.items()
            if now >= left_at + lease and vm != UNSEEN_VMS
        ]

    def is_converged(self, now: float, settle: float, lease: float) -> bool:
        """Return whether no VM can use an older state any more.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        settle : float
            Seconds for which all listed VMs must have agreed.
        lease : float
            Seconds that must have passed since the last other VM left.
        """
        last_left_at = max(self._left_at_by_vm.values(), default=float('-inf'))
        return (
            now >= self._agreed_since + settle and now >= last_left_at + lease
        )
