"""Entry point of the `lycheeslip` binary."""

from lycheeslip.cli import app

__all__ = ["main"]


def main() -> None:
    """Run the command line and exit with its exit code."""
    app()


if __name__ == "__main__":
    main()
