"""The HTTP interface to callers: a WSGI application.

It reads the request up to a size limit, checks it against the configuration in
force, and passes it on: completions to the dispatcher, plain calls to the call
runner. Every error is returned as a status and a JSON body, with `Retry-After`
if a retry may succeed.
"""

import itertools
import logging
import time
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any
from typing import NamedTuple
from typing import Protocol

from mulberrypick.adapters import engine as engine_adapter
from mulberrypick.adapters import http_server
from mulberrypick.adapters import logs
from mulberrypick.core import caller as caller_checks
from mulberrypick.core import completion_format
from mulberrypick.core import errors
from mulberrypick.core import records
from mulberrypick.ops import completions
from mulberrypick.ops import dispatch_task
from mulberrypick.ops import http_exchange

PATH_CHAT = '/v1/chat/completions'
PATH_COMPLETIONS = '/v1/completions'
PATH_MODELS = '/v1/models'
PATH_HEALTH = '/healthz'
PATH_READY = '/readyz'
PREFIX_SERVICES = '/services/'
READ_CHUNK_BYTES = 65_536

_logger = logging.getLogger(__name__)


class CallRunner(Protocol):
  """Runs plain calls; see `ops/plain_calls.py`."""

  def run(
      self,
      call: records.PlainCall,
      service: records.Service,
      endpoints: list[records.Host],
      now: Callable[[], float],
  ) -> records.PlainAnswer:
    """Runs one call; raises a `RequestError` if it has no answer."""


class EdgeState(Protocol):
  """The part of the process state that the edge reads."""

  @property
  def config(self) -> records.Config:
    """The configuration in force."""

  @property
  def is_ready(self) -> bool:
    """Whether the process is ready for new requests."""

  @property
  def is_draining(self) -> bool:
    """Whether the process is draining before it stops."""

  def list_service_hosts(self, service: str) -> list[records.Host]:
    """Lists the live endpoints of a plain service."""


class EdgeLimits(NamedTuple):
  """Limits on the requests of callers.

  Attributes:
    body_bytes: Maximum size of a request body.
    prompt_tokens: Maximum estimated number of tokens of a prompt.
  """

  body_bytes: int = 2_000_000
  prompt_tokens: int = 200_000


class Edge:
  """The WSGI application of an entry host.

  Attributes:
    disconnect_monitor: Detects callers that disconnect; None to detect none.
  """

  def __init__(
      self,
      own_name: str,
      state: EdgeState,
      dispatcher: dispatch_task.DispatchTask,
      engine: engine_adapter.Engine,
      call_runner: CallRunner,
      report: Callable[[completions.CompletionResult], None],
      limits: EdgeLimits,
  ):
    """Creates the application; its only state is a counter of requests."""
    self._own_name = own_name
    self._state = state
    self._dispatcher = dispatcher
    self._engine = engine
    self._call_runner = call_runner
    self._report = report
    self._limits = limits
    self._numbers = itertools.count(1)
    self._started = f'{time.time_ns() // 1_000_000:x}'
    self.disconnect_monitor: http_server.DisconnectMonitor | None = None

  def __call__(
      self, environ: dict[str, Any], start_response: Callable[..., Any]
  ) -> Iterable[bytes]:
    """Serves one request."""
    fallback_id = f'{self._own_name}-{self._started}-{next(self._numbers)}'
    exchange = http_exchange.Exchange(environ, start_response, fallback_id)
    exchange.closes_connection = self._state.is_draining
    try:
      return self._route(exchange)
    except errors.RequestError as error:
      return self._respond_error(exchange, error)
    except Exception:
      _logger.exception('edge_failed')
      error = errors.RequestError(
          'internal error of the entry host', errors.RUN_UNKNOWN
      )
      return self._respond_error(exchange, error)

  def _route(self, exchange: http_exchange.Exchange) -> Iterable[bytes]:
    # The body is read up to its limit before any request is refused. Otherwise
    # the server would read the rest of the body without a limit.
    body = exchange.read_body(self._limits.body_bytes)
    path = exchange.path
    if path == PATH_HEALTH:
      return exchange.respond_json(200, {'status': 'ok'})
    if path == PATH_READY:
      return self._respond_ready(exchange)
    if path in (PATH_COMPLETIONS, PATH_CHAT):
      exchange.require_method('POST')
      return self._serve_completion(exchange, body, path == PATH_CHAT)
    if path == PATH_MODELS:
      exchange.require_method('GET')
      return self._list_models(exchange)
    if path.startswith(PREFIX_SERVICES):
      return self._serve_plain_call(exchange, body)
    raise errors.NotFoundError(f'there is no path {path!r}')

  def _respond_error(
      self, exchange: http_exchange.Exchange, error: errors.RequestError
  ) -> Iterable[bytes]:
    logs.log_event(
        _logger,
        logging.INFO,
        'request_refused',
        request_id=exchange.request_id,
        status=error.status,
        type=error.kind,
        run=error.run,
        reason=str(error),
    )
    return exchange.respond_error(error)

  def _respond_ready(self, exchange: http_exchange.Exchange) -> Iterable[bytes]:
    is_ready = self._state.is_ready
    status = 200 if is_ready else 503
    body = {'ready': is_ready, 'generation': self._state.config.generation}
    return exchange.respond_json(status, body)

  def _list_models(self, exchange: http_exchange.Exchange) -> Iterable[bytes]:
    config = self._state.config
    tenant = caller_checks.find_tenant(config, exchange.headers)
    data = [
        {'id': name, 'object': 'model', 'owned_by': 'mulberrypick'}
        for name, service in sorted(config.service_by_name.items())
        if service.kind == records.KIND_MODEL and name in tenant.services
    ]
    return exchange.respond_json(200, {'object': 'list', 'data': data})

  def _serve_completion(
      self, exchange: http_exchange.Exchange, body: bytes, is_chat: bool
  ) -> Iterable[bytes]:
    parse = completion_format.parse_completion
    if is_chat:
      parse = completion_format.parse_chat
    parsed = parse(body)
    request = self._check_completion(exchange, parsed)
    completion = completions.Completion(
        request, self._dispatcher, self._engine, self._report
    )
    if parsed.is_streamed:
      return self._respond_stream(exchange, parsed, completion)
    return self._respond_whole(exchange, parsed, request, completion)

  def _check_completion(
      self,
      exchange: http_exchange.Exchange,
      parsed: completion_format.Completion,
  ) -> records.InferenceRequest:
    config = self._state.config
    checked = caller_checks.check_caller(
        config, exchange.headers, parsed.service
    )
    service = checked.service
    if service.kind != records.KIND_MODEL:
      raise errors.BadRequestError(
          f'model: {service.name} is a plain service; call'
          f' {PREFIX_SERVICES}{service.name}/'
      )
    prompt_tokens = len(parsed.prompt.split())
    if prompt_tokens > self._limits.prompt_tokens:
      raise errors.TooLargeError(
          f'prompt: {prompt_tokens} tokens are over the limit of'
          f' {self._limits.prompt_tokens}'
      )
    return records.InferenceRequest(
        request_id=exchange.request_id,
        tenant=checked.tenant.name,
        rank=checked.rank.name,
        service=service.name,
        model=service.model,
        adapter=service.adapter,
        prompt=parsed.prompt,
        prompt_tokens=prompt_tokens,
        max_tokens=parsed.max_tokens,
        arrived_at=exchange.arrived_at,
        deadline_at=exchange.arrived_at + checked.deadline_s,
    )

  def _watch(
      self,
      exchange: http_exchange.Exchange,
      completion: completions.Completion,
  ) -> None:
    if self.disconnect_monitor is not None:
      self.disconnect_monitor.begin(exchange.connection, completion.cancel)

  def _unwatch(self, exchange: http_exchange.Exchange) -> None:
    if self.disconnect_monitor is not None:
      self.disconnect_monitor.end(exchange.connection)

  def _respond_whole(
      self,
      exchange: http_exchange.Exchange,
      parsed: completion_format.Completion,
      request: records.InferenceRequest,
      completion: completions.Completion,
  ) -> Iterable[bytes]:
    self._watch(exchange, completion)
    try:
      text = ''.join(completion.run())
    except completions.CallerDisconnectedError:
      return exchange.respond_disconnected()
    finally:
      self._unwatch(exchange)
    usage = completion_format.Usage(request.prompt_tokens, completion.tokens)
    body = completion_format.encode_completion(
        exchange.request_id,
        parsed,
        text,
        completion.finish_reason,
        usage,
        int(time.time()),
    )
    return exchange.respond_bytes(200, 'application/json', body)

  def _respond_stream(
      self,
      exchange: http_exchange.Exchange,
      parsed: completion_format.Completion,
      completion: completions.Completion,
  ) -> Iterable[bytes]:
    self._watch(exchange, completion)
    texts = completion.run()
    try:
      # The status line is sent with the first token, so that a refusal before
      # it still has its own status.
      first = next(texts, None)
    except completions.CallerDisconnectedError:
      self._unwatch(exchange)
      return exchange.respond_disconnected()
    except BaseException:
      self._unwatch(exchange)
      raise
    exchange.start(200, 'text/event-stream')
    return self._encode_stream(exchange, parsed, completion, first, texts)

  def _encode_stream(
      self,
      exchange: http_exchange.Exchange,
      parsed: completion_format.Completion,
      completion: completions.Completion,
      first: str | None,
      texts: Iterator[str],
  ) -> Iterator[bytes]:
    writer = completion_format.ChunkWriter(
        exchange.request_id, parsed.service, parsed.is_chat, int(time.time())
    )
    try:
      if first is not None:
        yield writer.encode_text(first)
      for text in texts:
        yield writer.encode_text(text)
      yield writer.encode_finish(completion.finish_reason)
    except completions.CallerDisconnectedError:
      return
    except errors.RequestError as error:
      yield completion_format.encode_error_event(error, exchange.request_id)
    finally:
      texts.close()
      self._unwatch(exchange)

  def _serve_plain_call(
      self, exchange: http_exchange.Exchange, body: bytes
  ) -> Iterable[bytes]:
    name, _, rest = exchange.path[len(PREFIX_SERVICES) :].partition('/')
    config = self._state.config
    checked = caller_checks.check_caller(config, exchange.headers, name)
    service = checked.service
    if service.kind != records.KIND_PLAIN:
      raise errors.BadRequestError(
          f'service {service.name} is a model; call {PATH_COMPLETIONS}'
      )
    key = caller_checks.read_idempotency_key(exchange.headers, service)
    query = f'?{exchange.query}' if exchange.query else ''
    call = records.PlainCall(
        request_id=exchange.request_id,
        tenant=checked.tenant.name,
        rank=checked.rank.name,
        service=service.name,
        method=exchange.method,
        path=f'/{rest}{query}',
        content_type=exchange.content_type,
        body=body,
        idempotency_key=key,
        deadline_at=exchange.arrived_at + checked.deadline_s,
    )
    hosts = self._state.list_service_hosts(service.name)
    answer = self._call_runner.run(call, service, hosts, time.monotonic)
    return exchange.respond_bytes(
        answer.status, answer.content_type, answer.body
    )
