"""The completions form: parsing of requests and encoding of answers."""

from typing import Any
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from corianderspar import decoding
from corianderspar import problems

DEFAULT_MAX_TOKENS = 256
UNSUPPORTED_FIELDS = ('best_of', 'echo', 'logprobs', 'stop', 'suffix')
DONE_EVENT = b'data: [DONE]\n\n'


class CompletionRequest(NamedTuple):
    """A caller's request to an engine route.

    Attributes
    ----------
    prompt : str
        Text of the prompt.
    max_tokens : int
        Upper bound of the answer's tokens.
    stream : bool
        Whether the answer is streamed in pieces.
    """

    prompt: str
    max_tokens: int
    stream: bool


def parse(
    body: bytes, model: str, max_tokens_limit: int
) -> Result[CompletionRequest, problems.Problem]:
    """Parse a request body.

    Parameters
    ----------
    body : bytes
        JSON in the completions form.
    model : str
        The route's model; a body that names another is refused.
    max_tokens_limit : int
        Upper bound of ``max_tokens`` that the catalogue entry allows; a
        higher value in the request is reduced to it.

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
    except decoding.ERRORS:
        return _bad_request('the body: one JSON object')
    return _validate(fields, model, max_tokens_limit)


def _validate(
    fields: dict[str, Any], model: str, max_tokens_limit: int
) -> Result[CompletionRequest, problems.Problem]:
    prompt = fields.get('prompt')
    if isinstance(prompt, list) and len(prompt) == 1:
        prompt = prompt[0]
    if not isinstance(prompt, str) or not prompt.strip():
        return _bad_request('prompt: a text that is not empty')
    if fields.get('model', model) != model:
        return _bad_request(f'model: this route serves {model}')
    if fields.get('n', 1) != 1:
        return _bad_request('n: 1')
    for name in UNSUPPORTED_FIELDS:
        if fields.get(name) not in (None, False, '', []):
            return _bad_request(f'{name}: not supported')
    tokens = fields.get('max_tokens', DEFAULT_MAX_TOKENS)
    if tokens is None:
        tokens = DEFAULT_MAX_TOKENS
    if isinstance(tokens, bool) or not isinstance(tokens, int) or tokens < 1:
        return _bad_request('max_tokens: a whole number above 0')
    stream = fields.get('stream', False)
    if not isinstance(stream, bool):
        return _bad_request('stream: true or false')
    return Ok(CompletionRequest(prompt, min(tokens, max_tokens_limit), stream))


def _bad_request(message: str) -> Result[CompletionRequest, problems.Problem]:
    return Error(problems.Problem('bad_request', 400, 'no', message))


def piece_event(request_id: str, model: str, text: str, finish: str) -> bytes:
    """Return the server-sent event of a piece of an answer."""
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
    """Return the body of a whole answer.

    Parameters
    ----------
    request_id, model : str
        Id and model of the request.
    text : str
        Text of the answer.
    finish : str
        Reason why the answer ended: ``stop`` or ``length``.
    tokens : tuple of int
        Tokens of the prompt and of the answer.
    """
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
    """Return the event that ends a failed stream, instead of ``[DONE]``."""
    return b'data: ' + error_body(request_id, problem) + b'\n\n'


def error_body(request_id: str, problem: problems.Problem) -> bytes:
    """Return the body of an error, as documented in ``docs/ERRORS.md``."""
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
