"""Contents of objects that another writer may leave in the store."""

from __future__ import annotations

__all__ = ['ODD_ENTRY_BY_FORM', 'UNREADABLE_BY_FORM', 'build_entry_text']


def build_entry_text(**fields: bytes) -> bytes:
    """Return the entry of a backend server as JSON; fields are JSON text, empty for none."""
    texts = {
        'service': b'"calendar"',
        'address': b'"127.0.0.1:9"',
        'zone': b'"north"',
        'version': b'"v1"',
        'slots': b'4',
        'state': b'"ready"',
        'warmup-left-ms': b'0',
        'sequence': b'1',
        'born': b'1700000000000',
    } | {name.replace('_', '-'): text for name, text in fields.items()}
    parts = [f'"{name}":'.encode() + text for name, text in texts.items() if text]
    return b'{' + b','.join(parts) + b'}'


UNREADABLE_BY_FORM = {
    'arrays nested 3,000 deep': build_entry_text(extra=b'[' * 3000 + b']' * 3000),
    'objects nested 3,000 deep': build_entry_text(extra=b'{"a":' * 3000 + b'1' + b'}' * 3000),
    'arrays nested 300 deep': build_entry_text(extra=b'[' * 300 + b']' * 300),
    'born of 10^30': build_entry_text(born=b'1' + b'0' * 30),
    'slots of 10^400': build_entry_text(slots=b'1' + b'0' * 400),
    'an unread field of 10^30': build_entry_text(sequence=b'1' + b'0' * 30),
    'an unread field of 10^400': build_entry_text(sequence=b'1' + b'0' * 400),
    'an unread field of 10^5000': build_entry_text(sequence=b'1' + b'0' * 5000),
    'an unread field of 1e400': build_entry_text(sequence=b'1e400'),
    'an unread field that is not a number': build_entry_text(sequence=b'NaN'),
    'bytes that are not UTF-8': build_entry_text(zone=b'"\xff\xfe"'),
    'a lone surrogate as data centre': build_entry_text(zone=b'"\\ud800"'),
    'a control character': build_entry_text(zone=b'"no\x01rth"'),
    'no JSON': b'{,}',
}
"""What can't be decoded, or not be sent to other daemons."""

ODD_ENTRY_BY_FORM = UNREADABLE_BY_FORM | {
    'a port with a superscript digit': build_entry_text(address='"127.0.0.1:8²"'.encode()),
    'a port in other digits': build_entry_text(address='"127.0.0.1:٨٠"'.encode()),
    'a port of 5,000 digits': build_entry_text(address=b'"127.0.0.1:' + b'8' * 5000 + b'"'),
    'a port over 65535': build_entry_text(address=b'"127.0.0.1:70000"'),
    'port 0': build_entry_text(address=b'"127.0.0.1:0"'),
    'no port': build_entry_text(address=b'"127.0.0.1"'),
    'a NUL in the address': build_entry_text(address=b'"127.0.0.1\\u0000:80"'),
    'a blank in the address': build_entry_text(address=b'" 127.0.0.1:80"'),
    'a host name as address': build_entry_text(address=b'"localhost:80"'),
    'an address of 100,000 characters': build_entry_text(
        address=b'"' + b'1' * 100_000 + b':80"'
    ),
    'no address': build_entry_text(address=b''),
    'born of 1e300': build_entry_text(born=b'1e300'),
    'born of 10^19': build_entry_text(born=b'1' + b'0' * 19),
    'born before 1970': build_entry_text(born=b'-1'),
    'no born': build_entry_text(born=b''),
    'slots of 10^18': build_entry_text(slots=b'1' + b'0' * 18),
    'slots below 0': build_entry_text(slots=b'-1'),
    'slots that are true': build_entry_text(slots=b'true'),
    'cold for 1e308 ms': build_entry_text(warmup_left_ms=b'1e308'),
    'cold for 10^25 ms': build_entry_text(warmup_left_ms=b'1' + b'0' * 25),
    'an unknown state': build_entry_text(state=b'"resting"'),
    'a state that is a list': build_entry_text(state=b'["ready"]'),
    'a service that is null': build_entry_text(service=b'null'),
    'an empty service': build_entry_text(service=b'""'),
    'a data centre of 100,000 characters': build_entry_text(zone=b'"' + b'n' * 100_000 + b'"'),
    'null': b'null',
    'a list': b'[]',
    'text': b'"ready"',
}
"""Each names no server to use."""
