"""The table of settings of `mulberrypick-entry`."""

from mulberrypick.adapters import logs
from mulberrypick.adapters import peer_keys
from mulberrypick.core import admission
from mulberrypick.core import routing
from mulberrypick.core import settings

SETTINGS = (
    settings.Setting('name', None, settings.parse_name, 'Name of this host.'),
    settings.Setting('zone', None, settings.parse_name, 'Availability zone.'),
    settings.Setting(
        'listen',
        '127.0.0.1:8080',
        settings.parse_address,
        'ip:port for callers.',
    ),
    settings.Setting(
        'operator_listen',
        '127.0.0.1:8081',
        settings.parse_address,
        'ip:port for operators; keep callers away from it.',
    ),
    settings.Setting(
        'operator_token',
        '',
        str,
        'Bearer token of operators, empty for none.',
        is_secret=True,
    ),
    settings.Setting(
        'peer_listen',
        '127.0.0.1:8082',
        settings.parse_address,
        'ip:port for other entry hosts, as the list of hosts names it.',
    ),
    *peer_keys.SETTINGS,
    settings.Setting(
        'seeds',
        '',
        settings.parse_addresses,
        'Peer addresses to ask while the platform is away, ip:port,...',
    ),
    settings.Setting(
        'source_ip',
        '',
        settings.parse_ip,
        'Local IP of outgoing connections, empty for the default.',
    ),
    settings.Setting(
        'platform_url',
        None,
        settings.parse_url,
        'Base URL of the platform.',
    ),
    settings.Setting(
        'statsd',
        '',
        settings.parse_optional_address,
        'ip:port for statsd datagrams, empty for none.',
    ),
    settings.Setting(
        'log_level',
        'info',
        settings.parse_choice(*logs.LEVELS),
        'Least level of log lines.',
    ),
    settings.Setting(
        'router',
        'predicted-time',
        settings.parse_choice(*routing.ROUTER_BY_NAME),
        'How an endpoint is chosen.',
    ),
    settings.Setting(
        'admission',
        'ranked-fair',
        settings.parse_choice(*admission.ADMISSION_BY_NAME),
        'How waiting requests are ordered and refused.',
    ),
    settings.Setting(
        'threads',
        '256',
        settings.parse_count,
        'Requests served at a time.',
    ),
    settings.Setting(
        'body_bytes',
        '2000000',
        settings.parse_count,
        'Largest request body.',
    ),
    settings.Setting(
        'send_s',
        '10',
        settings.parse_seconds,
        'Time that a caller may take to send its request.',
    ),
    settings.Setting(
        'notice_s',
        '5',
        settings.parse_duration,
        'Time for the balancer to notice that readiness fails.',
    ),
    settings.Setting(
        'drain_s',
        '600',
        settings.parse_seconds,
        'Longest wait for running requests at a stop.',
    ),
    settings.Setting(
        'stall_s',
        '5',
        settings.parse_seconds,
        'Silence of an engine in mid-stream after which it has failed.',
    ),
)
