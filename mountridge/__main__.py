# SPDX-License-Identifier: Apache-2.0

"""``python -m mountridge`` is the ``mountridge`` command."""

from mountridge import startup

startup.ignore_reload_signal()

from mountridge import cli  # noqa: E402

if __name__ == '__main__':
    cli.main(prog_name='mountridge')
