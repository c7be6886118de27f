"""Typed errors that say whether a request ran, and findings of checks."""

from typing import Literal
from typing import NamedTuple

Ran = Literal['no', 'yes', 'unknown']

# By these callers are told that a request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class Problem(NamedTuple):
    """Why a request gets an error answer.

    Attributes
    ----------
    code : str
        Stable error code, listed in ``docs/ERRORS.md``.
    status : int
        HTTP status code.
    ran : {'no', 'yes', 'unknown'}
        Whether an upstream ran the request; ``'no'`` is a guarantee that
        none did.
    message : str
        Text for the caller; contains no API key and no text of the request.
    retry_after : float or None
        Seconds after which the caller may retry; None if a retry is of no
        use.
    ticket : str
        A new ticket to send the request with; empty if there is none.
    """

    code: str
    status: int
    ran: Ran
    message: str
    retry_after: float | None = None
    ticket: str = ''


def for_ticket(problem: Problem, ticket: str) -> Problem:
    """Return the problem of a refusal that the ticket's issuer had no part in.

    If the request has a ticket, another copy of it may have run, and only the
    issuer of the ticket knows: ``ran='no'`` then becomes ``ran='unknown'``.

    Parameters
    ----------
    problem : Problem
        The problem for a request without a ticket.
    ticket : str
        Ticket of the request; empty if it has none.

    Examples
    --------
    >>> refusal = Problem('overloaded', 503, 'no', 'at its limit')
    >>> for_ticket(refusal, '').ran, for_ticket(refusal, 'x').ran
    ('no', 'unknown')
    """
    if not ticket or problem.ran != 'no':
        return problem
    return problem._replace(ran='unknown')


class Finding(NamedTuple):
    """One error in the settings, a catalogue or a scenario.

    Attributes
    ----------
    place : str
        File, line or key path, such as ``accounts.parish.rate``.
    seen : str
        The value that was found.
    allowed : str
        Which values are accepted.
    """

    place: str
    seen: str
    allowed: str

    def __str__(self) -> str:
        """Return the finding as one line."""
        return f'{self.place}: {self.allowed} (seen: {self.seen})'
