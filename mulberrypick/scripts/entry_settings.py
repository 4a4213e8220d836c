"""Settings of `mulberrypick-entry`."""

from mulberrypick.adapters import peer_keys
from mulberrypick.core import admission
from mulberrypick.core import routing
from mulberrypick.core import settings
from mulberrypick.scripts import host_settings

SETTINGS = (
    host_settings.NAME,
    host_settings.ZONE,
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
    host_settings.OPERATOR_TOKEN,
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
    host_settings.SOURCE_IP,
    host_settings.PLATFORM_URL,
    settings.Setting(
        'statsd',
        '',
        settings.parse_optional_address,
        'ip:port for statsd datagrams, empty for none.',
    ),
    host_settings.LOG_LEVEL,
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
