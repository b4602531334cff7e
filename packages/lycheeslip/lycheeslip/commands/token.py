"""Generates bearer tokens; the configuration contains only their digests."""

import secrets

from lycheeslip.commands.options import Options
from lycheeslip.commands.outcomes import ExitCode
from lycheeslip.commands.render import print_result
from lycheeslip.config.auth import digest_token

__all__ = ["make_token"]

TOKEN_BYTES = 32


def make_token(options: Options) -> ExitCode:
    """Print a new token and the digest to put into the configuration."""
    token = secrets.token_urlsafe(TOKEN_BYTES)
    document = {"token": token, "sha256": digest_token(token)}
    lines = [f"token:  {token}", f"sha256: {document['sha256']}"]
    print_result(options.output, document, lines)
    return ExitCode.OK
