"""Whole-answer assembly: from the frames of attempts to one unbroken answer.

A caller gets each token once and in order, whatever the network and a resume
on another engine do to the frames. Frames are told apart by the id of the
attempt that is under way and by the index of the token: foreign and late ones
are dropped, doubled ones too, and those that come early are held until the gap
before them is filled. An answer is whole only when the last frame has come and
as many tokens as it counts have been delivered, so that a torn answer never
passes for a whole one.

This stands on the path of every token. The usual frame, the next in order, is
one comparison of ids and one of numbers; a state chart here would cost more
than the rest.
"""

from mulberrypick.core import records

# Frames that may wait for a gap to be filled; later ones are dropped, and the
# answer then needs a resume.
MAX_BUFFERED_FRAMES = 256


class AnswerAssembler:
  """Assembles the answer to one request, over all of its attempts.

  Not safe for use by several threads at once.

  Attributes:
    next_index: Index of the next token to deliver, where a resume begins.
    is_complete: Whether every token of the answer has been delivered.
    finish_reason: `stop` or `length` once the answer is whole, else empty.
    dropped: Frames dropped as foreign, late, doubled or too far ahead.
  """

  def __init__(self):
    self.next_index = 0
    self.is_complete = False
    self.finish_reason = ''
    self.dropped = 0
    self._attempt_id = ''
    self._text_by_index: dict[int, str] = {}
    self._last: records.Frame | None = None

  @property
  def has_gap(self) -> bool:
    """Whether something came that is ahead of the next token to deliver."""
    return not self.is_complete and bool(self._text_by_index or self._last)

  def begin(self, attempt_id: str) -> None:
    """Makes an attempt the current one; frames of all others are dropped.

    Args:
      attempt_id: The attempt, asked to start at `next_index`.
    """
    self._attempt_id = attempt_id
    self._text_by_index = {}
    self._last = None

  def accept(self, frame: records.Frame) -> list[str]:
    """Takes a frame in.

    Args:
      frame: A frame of any attempt.

    Returns:
      The texts that are deliverable now, in order; usually one.
    """
    attempt_id, index, text, is_last = frame[:4]
    if attempt_id != self._attempt_id or self.is_complete:
      self.dropped += 1
      return []
    if is_last:
      self._accept_last(frame)
      return []
    if index != self.next_index:
      self._hold(index, text)
      return []
    self.next_index = index + 1
    if not self._text_by_index and self._last is None:
      return [text]
    return self._release(text)

  def _accept_last(self, frame: records.Frame) -> None:
    if self._last is not None or frame.index < self.next_index:
      self.dropped += 1
      return
    self._last = frame
    self._finish_if_whole()

  def _hold(self, index: int, text: str) -> None:
    is_late = index < self.next_index or index in self._text_by_index
    if is_late or len(self._text_by_index) >= MAX_BUFFERED_FRAMES:
      self.dropped += 1
      return
    self._text_by_index[index] = text

  def _release(self, text: str) -> list[str]:
    texts = [text]
    while self.next_index in self._text_by_index:
      if self._last is not None and self.next_index >= self._last.index:
        break
      texts.append(self._text_by_index.pop(self.next_index))
      self.next_index += 1
    self._finish_if_whole()
    return texts

  def _finish_if_whole(self) -> None:
    if self._last is None or self._last.index != self.next_index:
      return
    self.is_complete = True
    self.finish_reason = self._last.finish_reason
    self._text_by_index = {}
