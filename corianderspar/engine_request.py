"""A request to run on engines, and the error raised if it fails."""

from typing import NamedTuple

from corianderspar import catalogue
from corianderspar import problems


class EngineRequest(NamedTuple):
    """A request to run on engines, which the edge has admitted.

    Attributes
    ----------
    request_id : str
        The caller's id, which each piece of the answer carries.
    account, route : str
        The account that sent the request, and the route that it matched.
    weight : float
        Weight of the account when engine capacity is short.
    service_class : {'patient', 'guarded', 'ordinary'}
        Service class of the route's entry.
    model, prompt : str
        The model, and the text of the prompt.
    max_tokens : int
        Answer tokens that the caller reserves.
    timeout : float
        Seconds for the whole request.
    repeatable : bool
        Whether it is idempotent. If not, it is not sent again once an
        engine may have run it.
    first_token_timeout : float or None
        Seconds within which the first token has to come. A scheduler that
        cannot place the job in time refuses it early. None if only
        ``timeout`` applies.
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
    """Raised when the answer to an engine request cannot be completed."""

    def __init__(self, problem: problems.Problem) -> None:
        super().__init__(problem.code)
        self.problem = problem
