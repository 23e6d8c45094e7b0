"""
tests.test_children

The processes that a fake fleet has started end with it, also when their parent is killed.
"""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

from chalkyoke_fakes.children import spawn

STARTER = """
import sys, time
from pathlib import Path
from chalkyoke_fakes.children import spawn
child = spawn([sys.executable, "-c", "import time; time.sleep(60)"], Path(sys.argv[1]))
print(child.pid, flush=True)
time.sleep(60)
"""


def is_running(pid):
    """Return whether a process runs; a zombie counts as ended."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8")
    except FileNotFoundError:
        return False
    return stat.rsplit(")", 1)[1].split()[0] != "Z"


def test_child_processes_end_when_their_parent_is_killed(tmp_path):
    starter = subprocess.Popen(
        [sys.executable, "-c", STARTER, str(tmp_path / "log")], stdout=subprocess.PIPE
    )
    child = int(starter.stdout.readline())
    assert is_running(child)
    starter.send_signal(signal.SIGKILL)
    starter.wait()
    end = time.monotonic() + 10
    while is_running(child) and time.monotonic() < end:
        time.sleep(0.01)
    gone = not is_running(child)
    if not gone:
        os.kill(child, signal.SIGKILL)
    assert gone


def test_a_child_inherits_the_signals_that_it_is_to_block(tmp_path):
    """Guards against plays of inherited masks in which nothing is blocked."""
    for blocked, mask in (((), 0), ((signal.SIGTERM,), 1 << (signal.SIGTERM - 1))):
        log = tmp_path / f"{mask}.log"
        status = "print(open('/proc/self/status').read())"
        assert spawn([sys.executable, "-c", status], log, blocked=blocked).wait() == 0
        line = next(each for each in log.read_text().splitlines() if each.startswith("SigBlk:"))
        assert int(line.split()[1], 16) == mask
