"""HTTP interface of the simulated engine."""

import itertools
import threading
import time
from collections.abc import Iterator
from http import HTTPStatus
from typing import NamedTuple
from typing import TypedDict

import msgspec
import urllib3

from mulberrypick.core import records
from standins import answers
from standins import engine_batch
from standins import engine_events
from standins import engine_loop
from standins import engine_orders
from standins import engine_stream
from standins import wire

KV_EXPORT_TTL_S = 30.0
KV_IMPORT_TIMEOUT_S = 2.0
KV_PATH = '/kv/'


class KvReference(TypedDict):
  """Address and id of KV cache exported by a prefill engine."""

  address: str
  kv_id: str


class GenerateBody(TypedDict):
  """JSON body of `/generate` and `/prefill`."""

  attempt_id: str
  model: str
  adapter: str
  prompt: str
  max_tokens: int
  start_index: int
  priority: int
  kv: KvReference | None


class KvExport(NamedTuple):
  """KV cache that another engine may fetch.

  Attributes:
    tokens: Number of prompt tokens that it covers.
    prompt: The prompt.
    kept_until: Monotonic time at which it expires.
  """

  tokens: int
  prompt: str
  kept_until: float


class Settings(NamedTuple):
  """Settings of the HTTP interface.

  Attributes:
    queue: Maximum number of waiting and running requests.
  """

  queue: int = 256


class KvImportError(Exception):
  """The KV cache could not be fetched, or is that of another prompt."""


class EngineApp(wire.App):
  """HTTP interface of the simulated engine.

  It answers requests, accepts orders that change the engine's models, role or
  draining state, reports the engine's load and state, and injects faults.
  """

  def __init__(
      self,
      settings: Settings,
      batch_settings: engine_batch.Settings,
      loop: engine_loop.EngineLoop,
      orders: engine_orders.Orders,
      events: engine_events.CacheEvents,
      reports: engine_events.LaggingReports,
  ):
    super().__init__()
    self._settings = settings
    self._batch_settings = batch_settings
    self._loop = loop
    self._orders = orders
    self._events = events
    self._reports = reports
    self._pool = urllib3.PoolManager(retries=False, maxsize=8)
    self._lock = threading.Lock()
    self._kv_ids = itertools.count(1)
    self._export_by_id: dict[str, KvExport] = {}
    self._counts = {'generate': 0, 'prefill': 0, 'cancelled': 0}
    self._active_requests = 0
    self._streams_to_garble = 0

  def set_fault(self, name: str, value: object) -> None:
    """Sets a crash, a count of garbled streams or a fault of orders."""
    if name == 'crash_after_tokens':
      self._loop.crash_after = self._loop.tokens + int(value)
    elif name == 'garble_streams':
      self._streams_to_garble = int(value)
    elif name == 'order_delay_s':
      self._orders.delay_s = float(value)
    elif name == 'crash_in_order':
      self._orders.crash_in_next_order = bool(value)
    else:
      raise ValueError(name)

  def freeze(self, until: float) -> None:
    """Stops HTTP answers and computation until a monotonic time."""
    super().freeze(until)
    self._loop.frozen_until = until

  def handle(self, call: wire.Call) -> wire.Answer:
    """Answers one request."""
    if call.path.startswith(KV_PATH):
      return self._export_kv(call.path.removeprefix(KV_PATH))
    handler_by_path = {
        '/generate': self._generate,
        '/prefill': self._prefill,
        '/cancel': self._cancel,
        '/orders': self._take_order,
        '/load': self._report_load,
        '/state': self._report_state,
        '/events': self._report_events,
        '/calls': self._report_calls,
    }
    handler = handler_by_path.get(call.path)
    if handler is None:
      return wire.error_answer(HTTPStatus.NOT_FOUND, 'path')
    return handler(call)

  def sample(self) -> None:
    """Records the current load for the delayed load reports."""
    load = self._loop.load
    state = self._orders.state(load.requests)
    batch = self._batch_settings
    step_s = batch.decode_step_s + batch.decode_seq_s * load.running
    self._reports.add(
        records.EngineReport(
            state.endpoint,
            state.incarnation,
            state.role,
            self._orders.served_models(),
            load.waiting_tokens,
            load.running,
            batch.pieces,
            load.pieces_free,
            state.is_draining,
            batch.prefill_tokens_per_s,
            step_s,
            0.0,
        )
    )

  def _generate(self, call: wire.Call) -> wire.Answer:
    body = msgspec.json.decode(call.body, type=GenerateBody)
    is_covered = body['kv'] is not None or body['start_index'] > 0
    wrong_role = records.ROLE_PREFILL
    if self._orders.state(0).role == records.ROLE_DECODE and not is_covered:
      wrong_role = records.ROLE_DECODE
    refusal = self._refusal(body, wrong_role)
    if refusal:
      return refusal
    try:
      work = self._make_work(body, is_prefill_only=False)
    except KvImportError:
      return wire.error_answer(HTTPStatus.CONFLICT, 'kv')
    if not self._loop.fits(work):
      return wire.error_answer(HTTPStatus.CONFLICT, 'memory')
    self._count('generate')
    stream = self._stream(call, work)
    # Runs the generator until it has submitted the request, before any header
    # is sent.
    next(stream)
    return wire.Answer(HTTPStatus.OK, stream, wire.EVENT_STREAM)

  def _prefill(self, call: wire.Call) -> wire.Answer:
    body = msgspec.json.decode(call.body, type=GenerateBody)
    refusal = self._refusal(body, records.ROLE_DECODE)
    if refusal:
      return refusal
    work = self._make_work({**body, 'kv': None}, is_prefill_only=True)
    if not self._loop.fits(work):
      return wire.error_answer(HTTPStatus.CONFLICT, 'memory')
    self._count('prefill')
    sink = engine_stream.Sink()
    self._submit(work, sink)
    try:
      is_connected = sink.wait_ended(call)
    finally:
      self._release(work)
    if sink.is_aborted or not is_connected:
      self._count('cancelled')
      raise wire.DropConnectionError
    return wire.json_answer(
        {
            'kv_id': self._store_export(work),
            'tokens': work.prompt_tokens,
        }
    )

  def _refusal(self, body: GenerateBody, wrong_role: str) -> wire.Answer | None:
    name = engine_orders.model_name(body['model'], body['adapter'])
    refusal = self._orders.refusal(name, wrong_role)
    if refusal is None and self._active_requests >= self._settings.queue:
      return wire.error_answer(HTTPStatus.SERVICE_UNAVAILABLE, 'busy')
    return refusal

  def _make_work(
      self, body: GenerateBody, is_prefill_only: bool
  ) -> engine_batch.Work:
    model, adapter, prompt = body['model'], body['adapter'], body['prompt']
    start = 0 if is_prefill_only else body['start_index']
    words = prompt.split()
    prompt_tokens = max(1, len(words))
    source = answers.TokenSource(model, adapter, prompt)
    words += [source.token(index).strip() for index in range(start)]
    end = answers.expected_end(prompt, body['max_tokens'])
    piece_tokens = self._batch_settings.piece_tokens
    return engine_batch.Work(
        body['attempt_id'],
        model,
        adapter,
        prompt,
        prompt_tokens,
        answers.block_hashes(model, adapter, words, piece_tokens),
        start,
        0 if is_prefill_only else end.tokens,
        end.finish_reason,
        body['priority'],
        self._import_kv(body),
        is_prefill_only,
    )

  def _import_kv(self, body: GenerateBody) -> int:
    """Fetches KV cache and returns the number of tokens that it covers.

    Raises:
      KvImportError: It could not be fetched, or is that of another prompt.
    """
    reference = body['kv']
    if reference is None:
      return 0
    url = f'http://{reference["address"]}{KV_PATH}{reference["kv_id"]}'
    try:
      response = self._pool.request('GET', url, timeout=KV_IMPORT_TIMEOUT_S)
    except urllib3.exceptions.HTTPError as error:
      raise KvImportError from error
    if response.status != HTTPStatus.OK:
      raise KvImportError
    export = msgspec.json.decode(response.data)
    if export['prompt'] != body['prompt']:
      raise KvImportError
    return export['tokens']

  def _store_export(self, work: engine_batch.Work) -> str:
    now = time.monotonic()
    export = KvExport(work.prompt_tokens, work.prompt, now + KV_EXPORT_TTL_S)
    with self._lock:
      for kv_id, stored_export in list(self._export_by_id.items()):
        if stored_export.kept_until > now:
          break
        del self._export_by_id[kv_id]
      kv_id = str(next(self._kv_ids))
      self._export_by_id[kv_id] = export
    return kv_id

  def _export_kv(self, kv_id: str) -> wire.Answer:
    with self._lock:
      export = self._export_by_id.get(kv_id)
    if export is None or export.kept_until <= time.monotonic():
      return wire.error_answer(HTTPStatus.NOT_FOUND, 'kv')
    return wire.json_answer(export._asdict())

  def _submit(self, work: engine_batch.Work, sink: engine_stream.Sink) -> None:
    with self._lock:
      self._active_requests += 1
    self._loop.send(engine_loop.Submit(work, sink))

  def _release(self, work: engine_batch.Work) -> None:
    with self._lock:
      self._active_requests -= 1
    self._loop.send(engine_loop.Cancel(lambda other: other is work))

  def _make_sink(
      self, call: wire.Call, work: engine_batch.Work
  ) -> engine_stream.StreamSink:
    with self._lock:
      if not self._streams_to_garble:
        return engine_stream.StreamSink(call, work)
      self._streams_to_garble -= 1
    return engine_stream.GarblingSink(call, work)

  def _stream(
      self, call: wire.Call, work: engine_batch.Work
  ) -> Iterator[bytes]:
    """Streams an answer; yields an empty item once the request is submitted."""
    sink = self._make_sink(call, work)
    self._submit(work, sink)
    is_complete = False
    try:
      yield b''
      if not sink.wait_started(call):
        return
      yield sink.take_first_events()
      sink.open()
      if not sink.wait_ended(call) or sink.is_aborted:
        return
      yield sink.finish()
      is_complete = True
    finally:
      sink.close()
      self._release(work)
      if not is_complete:
        self._count('cancelled')
        call.drop()

  def _count(self, name: str) -> None:
    with self._lock:
      self._counts[name] += 1

  def _cancel(self, call: wire.Call) -> wire.Answer:
    attempt_id = msgspec.json.decode(call.body, type=dict)['attempt_id']
    self._loop.send(
        engine_loop.Cancel(lambda work: work.attempt_id == attempt_id)
    )
    return wire.json_answer({})

  def _take_order(self, call: wire.Call) -> wire.Answer:
    return self._orders.accept(wire.decode_record(call.body, records.Order))

  def _report_load(self, call: wire.Call) -> wire.Answer:
    del call
    return wire.json_answer(self._reports.read()._asdict())

  def _report_state(self, call: wire.Call) -> wire.Answer:
    del call
    return wire.json_answer(self._orders.state(self._active_requests)._asdict())

  def _report_events(self, call: wire.Call) -> wire.Answer:
    events = self._events.read(int(call.argument_by_name.get('after', '0')))
    rows = [
        {'number': e.number, 'is_stored': e.is_stored, 'block': e.block}
        for e in events
    ]
    return wire.json_answer({'events': rows})

  def _report_calls(self, call: wire.Call) -> wire.Answer:
    del call
    counts = {
        'tokens': self._loop.tokens,
        'prefill_tokens': self._loop.prefill_tokens,
        'orders': self._orders.accepted,
        'conflicts': self._orders.conflicts,
    }
    with self._lock:
      return wire.json_answer({**self._counts, **counts})
