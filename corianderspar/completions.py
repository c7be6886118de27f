"""The completions form: requests in, answers and chunks out."""

from typing import Any
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from corianderspar import problems

DEFAULT_MAX_TOKENS = 256
UNSUPPORTED = ('best_of', 'echo', 'logprobs', 'stop', 'suffix')
DONE_EVENT = b'data: [DONE]\n\n'


class CompletionRequest(NamedTuple):
    """What a caller asks of an engine route.

    Attributes
    ----------
    prompt : str
        The text.
    max_tokens : int
        Most tokens of the answer.
    stream : bool
        Whether the answer comes in pieces.
    """

    prompt: str
    max_tokens: int
    stream: bool


def parse(
    body: bytes, model: str, most_tokens: int
) -> Result[CompletionRequest, problems.Problem]:
    """Read a request body.

    Parameters
    ----------
    body : bytes
        JSON in the completions form.
    model : str
        The route's model; a body that names another is refused.
    most_tokens : int
        Most answer tokens that the entry allows; what a caller asks above
        it is cut down to it.

    Returns
    -------
    Result
        The request, or a `Problem` with code ``bad_request``.

    Examples
    --------
    >>> parse(b'{"prompt": "A feast", "max_tokens": 5}', 'm', 9).ok
    CompletionRequest(prompt='A feast', max_tokens=5, stream=False)
    >>> parse(b'{"prompt": 1}', 'm', 9).error.message
    'prompt: a text that is not empty'
    """
    try:
        fields = msgspec.json.decode(body, type=dict[str, Any])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return _bad('the body: one JSON object')
    return _check(fields, model, most_tokens)


def _check(
    fields: dict[str, Any], model: str, most_tokens: int
) -> Result[CompletionRequest, problems.Problem]:
    prompt = fields.get('prompt')
    if isinstance(prompt, list) and len(prompt) == 1:
        prompt = prompt[0]
    if not isinstance(prompt, str) or not prompt.strip():
        return _bad('prompt: a text that is not empty')
    if fields.get('model', model) != model:
        return _bad(f'model: this route serves {model}')
    if fields.get('n', 1) != 1:
        return _bad('n: 1')
    for name in UNSUPPORTED:
        if fields.get(name) not in (None, False, '', []):
            return _bad(f'{name}: not supported')
    tokens = fields.get('max_tokens', DEFAULT_MAX_TOKENS)
    if tokens is None:
        tokens = DEFAULT_MAX_TOKENS
    if isinstance(tokens, bool) or not isinstance(tokens, int) or tokens < 1:
        return _bad('max_tokens: a whole number above 0')
    stream = fields.get('stream', False)
    if not isinstance(stream, bool):
        return _bad('stream: true or false')
    return Ok(CompletionRequest(prompt, min(tokens, most_tokens), stream))


def _bad(message: str) -> Result[CompletionRequest, problems.Problem]:
    return Error(problems.Problem('bad_request', 400, 'no', message))


def piece_event(request_id: str, model: str, text: str, finish: str) -> bytes:
    """Return a piece of an answer as a server-sent event."""
    payload = {
        'id': request_id,
        'object': 'text_completion',
        'model': model,
        'choices': [
            {'index': 0, 'text': text, 'finish_reason': finish or None}
        ],
    }
    return b'data: ' + msgspec.json.encode(payload) + b'\n\n'


def answer_body(
    request_id: str,
    model: str,
    text: str,
    finish: str,
    tokens: tuple[int, int],
) -> bytes:
    """Return a whole answer; ``tokens`` counts prompt and answer."""
    prompt_tokens, answer_tokens = tokens
    payload = {
        'id': request_id,
        'object': 'text_completion',
        'model': model,
        'choices': [{'index': 0, 'text': text, 'finish_reason': finish}],
        'usage': {
            'prompt_tokens': prompt_tokens,
            'completion_tokens': answer_tokens,
            'total_tokens': prompt_tokens + answer_tokens,
        },
    }
    return msgspec.json.encode(payload)


def error_event(request_id: str, problem: problems.Problem) -> bytes:
    """Return the event that ends a broken stream; no ``[DONE]`` follows."""
    return b'data: ' + error_body(request_id, problem) + b'\n\n'


def error_body(request_id: str, problem: problems.Problem) -> bytes:
    """Return the documented shape of an error."""
    fields: dict[str, Any] = {
        'code': problem.code,
        'message': problem.message,
        'ran': problem.ran,
        'retry_after': problem.retry_after,
        'request_id': request_id,
    }
    if problem.ticket:
        fields['ticket'] = problem.ticket
    return msgspec.json.encode({'error': fields})
