"""Run the daemon with `python -m primrosesaddle`."""

from primrosesaddle import daemon

if __name__ == '__main__':
    daemon.main()
