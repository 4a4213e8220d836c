"""Assembles the frames of one or more attempts into one complete answer.

Each token is delivered once and in order, even if frames are lost, duplicated
or reordered, or the request is resumed on another engine. A frame is identified
by its attempt id and token index. Frames of other attempts, late frames and
duplicates are dropped; frames that arrive early are buffered until the gap
before them is filled. An answer is complete only when its last frame has
arrived and all tokens that this frame counts have been delivered, so a
truncated answer is never reported as complete.

This code runs for every token. A frame that arrives in order costs one
comparison of ids and one of indexes; a state chart would cost more than all the
rest.
"""

from mulberrypick.core import records

# Limits the frames buffered behind a gap. Frames beyond it are dropped, and the
# request must then be resumed.
MAX_BUFFERED_FRAMES = 256


class AnswerAssembler:
  """Assembles the answer to one request, over all of its attempts.

  Not safe for use by several threads at once.

  Attributes:
    next_index: Index of the next token to deliver, where a resume begins.
    is_complete: Whether every token of the answer has been delivered.
    finish_reason: `stop` or `length` once the answer is complete, else empty.
    dropped: Number of dropped frames: frames of other attempts, late frames,
      duplicates, and frames beyond the buffer.
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
    """Whether a frame has arrived whose predecessors are still missing."""
    return not self.is_complete and bool(self._text_by_index or self._last)

  def begin(self, attempt_id: str) -> None:
    """Sets the current attempt; frames of all other attempts are dropped.

    Args:
      attempt_id: The attempt, which must start at token `next_index`.
    """
    self._attempt_id = attempt_id
    self._text_by_index = {}
    self._last = None

  def accept(self, frame: records.Frame) -> list[str]:
    """Processes a frame.

    Args:
      frame: A frame of any attempt.

    Returns:
      The texts that can now be delivered, in order; usually one.
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
