"""A request for an engine, and the problem that may end it."""

from typing import NamedTuple

from corianderspar import catalogue
from corianderspar import problems


class EngineRequest(NamedTuple):
    """A request for an engine, admitted.

    Attributes
    ----------
    request_id : str
        The caller's; on each piece that comes back.
    account, route : str
        Whom it counts for, and by which route it came.
    weight : float
        The account's weight when engines are short.
    service_class : {'patient', 'guarded', 'ordinary'}
        The entry's class.
    model, prompt : str
        What to run.
    max_tokens : int
        Answer tokens that the caller reserves.
    timeout : float
        Seconds for all of it.
    repeatable : bool
        Whether it is idempotent; if not, it is sent to an engine once.
    first_token_timeout : float or None
        Seconds within which the first token is wanted: if the home sees
        that it can't be had, it refuses at once. None to wait for all of
        ``timeout``.
    """

    request_id: str
    account: str
    weight: float
    route: str
    service_class: catalogue.ServiceClass
    model: str
    prompt: str
    max_tokens: int
    timeout: float
    repeatable: bool = True
    first_token_timeout: float | None = None


class EngineRequestError(Exception):
    """Raised out of an answer that can't be given whole."""

    def __init__(self, problem: problems.Problem) -> None:
        super().__init__(problem.code)
        self.problem = problem
