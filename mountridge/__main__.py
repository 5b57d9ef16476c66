# SPDX-License-Identifier: Apache-2.0

"""``python -m mountridge`` and the ``mountridge`` command."""

from mountridge import startup

startup.ignore_reload_signal()

from mountridge import cli  # noqa: E402

__all__ = ['main']


def main() -> None:
    """Run the command line."""
    cli.main(prog_name='mountridge')


if __name__ == '__main__':
    main()
