"""`stoatgw`: the top-level command, and the exit statuses."""

from __future__ import annotations

import os
import sys
from importlib.metadata import PackageNotFoundError, version
from typing import Any

try:
    import click
except ModuleNotFoundError:
    sys.exit(
        "stoatgw: the command line needs click: install the extra with pip install 'stoatgw[lab]', "
        "or start the proxy with python -m stoatgw"
    )

from stoatgw import __version__
from stoatgw.cli.lab import lab
from stoatgw.cli.maintain import maintain
from stoatgw.config.errors import ConfigError, report_config_error

STATUS_INVALID_INPUT = 2
STATUS_INTERRUPTED = 130


def _version() -> str:
    try:
        return str(version("stoatgw"))
    except PackageNotFoundError:  # runs from a source checkout
        return __version__


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(_version(), prog_name="stoatgw")
def stoatgw() -> None:
    """Place long-lived exercise-session connections on session servers."""


@stoatgw.command()
@click.option(
    "--lb-config", "deployment_file", type=click.Path(), help="The platform's configuration; LB_CONFIG by default."
)
@click.option("--config", "operators_file", type=click.Path(), help="The operators' file; STOATGW_CONFIG by default.")
def run(deployment_file: str | None, operators_file: str | None) -> int:
    """Run the proxy in the foreground, like `python -m stoatgw`."""
    from stoatgw.service import main as serve

    if deployment_file is not None:
        os.environ["LB_CONFIG"] = deployment_file
    if operators_file is not None:
        os.environ["STOATGW_CONFIG"] = operators_file
    return serve()


@stoatgw.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print the completion script for a shell: eval "$(stoatgw completion bash)"."""
    from click.shell_completion import get_completion_class

    completion_class = get_completion_class(shell)
    if completion_class is None:
        raise click.ClickException(f"{shell}: no completion for this shell")
    click.echo(completion_class(stoatgw, {}, "stoatgw", "_STOATGW_COMPLETE").source())


stoatgw.add_command(lab)
stoatgw.add_command(maintain)


def main(arguments: list[str] | None = None) -> int:
    """Run a command; return its status: 0, 1 for findings (violated rules), 2 for invalid arguments or input."""
    try:
        status: Any = stoatgw.main(arguments, prog_name="stoatgw", standalone_mode=False)
    except click.Abort:
        click.echo("stoatgw: interrupted", err=True)
        return STATUS_INTERRUPTED
    except click.exceptions.Exit as exit_request:
        return exit_request.exit_code
    except click.exceptions.NoArgsIsHelpError as error:
        click.echo(error.format_message(), err=True)
        return STATUS_INVALID_INPUT
    except click.ClickException as error:
        message = " ".join(error.format_message().split())
        click.echo(f"stoatgw: {message}", err=True)
        return STATUS_INVALID_INPUT
    except ConfigError as error:
        return report_config_error(error)
    return 0 if status is None else int(status)


if __name__ == "__main__":
    sys.exit(main())
