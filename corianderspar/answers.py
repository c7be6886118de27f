"""Checks that the pieces of an answer are its own, in order and whole."""

import collections

from corianderspar import engine

EARLY_PIECES = 64


class Answer:
    """The answer to one request, over all engines that worked on it.

    Pieces are taken by the id of the call that is running and by their
    position. Those of another call, those that came before, and those
    after the end are counted and dropped; a few that come too early are
    kept until the gap before them closes.

    Parameters
    ----------
    request_id : str
        The caller's id, written on each piece that is handed on.
    counts : collections.Counter
        Counts dropped pieces by reason: ``crossed``, ``late``,
        ``doubled``, ``beyond``.

    Examples
    --------
    >>> answer = Answer('r1', collections.Counter())
    >>> answer.begin_run('vm1/1/a#1')
    >>> answer.accept(engine.Piece('vm1/1/a#1', 1, 1, ' day', 'stop'))
    []
    >>> found = answer.accept(engine.Piece('vm1/1/a#1', 0, 1, 'feast'))
    >>> [piece.text for piece in found], answer.is_complete
    (['feast', ' day'], True)
    """

    def __init__(
        self, request_id: str, counts: collections.Counter[str]
    ) -> None:
        self.position = 0
        self.finish = ''
        self._request_id = request_id
        self._counts = counts
        self._texts: list[str] = []
        self._calls: list[str] = []
        self._early_by_position: dict[int, engine.Piece] = {}

    @property
    def is_complete(self) -> bool:
        """Whether the explicit end was reached with no gap before it."""
        return self.finish != ''

    @property
    def text(self) -> str:
        """All text up to `position`."""
        return ''.join(self._texts)

    def begin_run(self, call_id: str) -> None:
        """Take pieces of this call only from now on."""
        self._calls.append(call_id)
        self._early_by_position.clear()

    def accept(self, piece: engine.Piece) -> list[engine.Piece]:
        """Return the pieces that can be handed on now, in order.

        Parameters
        ----------
        piece : Piece
            As it came from an engine.

        Returns
        -------
        list of Piece
            With the caller's id; empty if the piece was dropped or came
            early.
        """
        reason = self._unwanted(piece)
        if reason:
            self._counts[reason] += 1
            return []
        self._early_by_position[piece.position] = piece
        ready = []
        while self.position in self._early_by_position:
            following = self._early_by_position.pop(self.position)
            ready.append(self._take(following))
            if self.is_complete:
                self._early_by_position.clear()
        return ready

    def _unwanted(self, piece: engine.Piece) -> str:
        if not self._calls or piece.request_id != self._calls[-1]:
            return 'late' if piece.request_id in self._calls else 'crossed'
        if self.is_complete:
            return 'late'
        if piece.position < self.position:
            return 'doubled'
        if piece.position in self._early_by_position:
            return 'doubled'
        if piece.tokens <= 0 and not piece.finish:
            return 'empty'
        if len(self._early_by_position) >= EARLY_PIECES:
            return 'beyond'
        return ''

    def _take(self, piece: engine.Piece) -> engine.Piece:
        self.position += piece.tokens
        self._texts.append(piece.text)
        self.finish = piece.finish
        return piece._replace(request_id=self._request_id)
