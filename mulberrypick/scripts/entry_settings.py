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
        'ip:port to listen on for callers.',
    ),
    settings.Setting(
        'operator_listen',
        '127.0.0.1:8081',
        settings.parse_address,
        'ip:port to listen on for operators; must not be reachable by callers.',
    ),
    host_settings.OPERATOR_TOKEN,
    settings.Setting(
        'peer_listen',
        '127.0.0.1:8082',
        settings.parse_address,
        "ip:port to listen on for other entry hosts; must equal this host's"
        " peer address in the platform's list of hosts.",
    ),
    *peer_keys.SETTINGS,
    settings.Setting(
        'seeds',
        '',
        settings.parse_addresses,
        'Comma-separated peer addresses, ip:port, to ask while the platform'
        ' is unavailable.',
    ),
    host_settings.SOURCE_IP,
    host_settings.PLATFORM_URL,
    settings.Setting(
        'statsd',
        '',
        settings.parse_optional_address,
        'ip:port to send statsd datagrams to; empty to send none.',
    ),
    host_settings.LOG_LEVEL,
    settings.Setting(
        'router',
        'predicted-time',
        settings.parse_choice(*routing.ROUTER_BY_NAME),
        'Policy that chooses the endpoint of a request.',
    ),
    settings.Setting(
        'admission',
        'ranked-fair',
        settings.parse_choice(*admission.ADMISSION_BY_NAME),
        'Policy that orders and refuses waiting requests.',
    ),
    settings.Setting(
        'threads',
        '256',
        settings.parse_count,
        'Maximum number of requests served at the same time.',
    ),
    settings.Setting(
        'body_bytes',
        '2000000',
        settings.parse_count,
        'Maximum size of a request body, in bytes.',
    ),
    settings.Setting(
        'send_s',
        '10',
        settings.parse_seconds,
        'Maximum time that a caller may take to send its request, in seconds.',
    ),
    settings.Setting(
        'notice_s',
        '5',
        settings.parse_duration,
        'Time for the load balancer to notice a stop through the failing'
        ' readiness check, in seconds.',
    ),
    settings.Setting(
        'drain_s',
        '600',
        settings.parse_seconds,
        'Maximum time to wait for running requests at a stop, in seconds.',
    ),
    settings.Setting(
        'stall_s',
        '5',
        settings.parse_seconds,
        'Time without data after which a started stream of an engine has'
        ' failed, in seconds.',
    ),
)
