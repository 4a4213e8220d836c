"""Settings shared by the programs of a host."""

from mulberrypick.adapters import logs
from mulberrypick.core import settings

NAME = settings.Setting('name', None, settings.parse_name, 'Name of this host.')
ZONE = settings.Setting(
    'zone', None, settings.parse_name, 'Availability zone of this host.'
)
OPERATOR_TOKEN = settings.Setting(
    'operator_token',
    '',
    str,
    'Bearer token required from operators; empty to require none.',
    is_secret=True,
)
SOURCE_IP = settings.Setting(
    'source_ip',
    '',
    settings.parse_ip,
    'Local IP address of outgoing connections; empty for the default.',
)
PLATFORM_URL = settings.Setting(
    'platform_url', None, settings.parse_url, 'Base URL of the platform.'
)
LOG_LEVEL = settings.Setting(
    'log_level',
    'info',
    settings.parse_choice(*logs.LEVELS),
    'Minimum level of log lines.',
)
