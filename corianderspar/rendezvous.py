"""Rendezvous hashing: choose the member that is the home of a key."""

from collections.abc import Iterable

import xxhash


def rank(key: str, members: Iterable[str]) -> list[str]:
    """Return the members by descending hash weight, the home first.

    When a member leaves, only the keys whose home it was get another one.

    Parameters
    ----------
    key : str
        The key to place.
    members : iterable of str
        Names of the candidates.

    Returns
    -------
    list of str
        All members; each is the home if those before it are left out.

    Examples
    --------
    >>> first, *others = rank('account/parish', ['vm1', 'vm2', 'vm3'])
    >>> rank('account/parish', [first, others[1]])[0] == first
    True
    """
    return sorted(
        members,
        key=lambda member: (
            -xxhash.xxh3_64_intdigest(f'{key}\0{member}'.encode()),
            member,
        ),
    )


def is_among_first(
    key: str, member: str, members: Iterable[str], count: int
) -> bool:
    """Return whether a member is one of the first in the rank of a key.

    Cheaper than `rank`, as it stops at the first members that precede it.

    Parameters
    ----------
    key, members : str, iterable of str
        As in `rank`.
    member : str
        Need not be one of the members.
    count : int
        Size of the group in question.

    Examples
    --------
    >>> members = ['vm1', 'vm2', 'vm3']
    >>> ranked = rank('account/parish', members)
    >>> [is_among_first('account/parish', m, members, 2) for m in ranked]
    [True, True, False]
    """
    weight = xxhash.xxh3_64_intdigest(f'{key}\0{member}'.encode())
    preceding = 0
    for other in members:
        if xxhash.xxh3_64_intdigest(f'{key}\0{other}'.encode()) > weight:
            preceding += 1
            if preceding >= count:
                return False
    return True


def home(key: str, members: Iterable[str]) -> str | None:
    """Return the home of a key, or None if there are no members."""
    return max(
        members,
        key=lambda member: (
            xxhash.xxh3_64_intdigest(f'{key}\0{member}'.encode()),
            member,
        ),
        default=None,
    )
