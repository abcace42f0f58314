"""Trials behind scripts/times: drives a fleet that the script has started."""

import json
import os
import re
import signal
import statistics
import subprocess
import sys
import threading
import time
import urllib.error
import urllib.request

HOSTS = int(os.environ["HOSTS"])
TARGETS = int(os.environ["TARGETS"])
TRIALS = int(os.environ.get("TRIALS", "20"))
RUN_DIR = os.environ["RUN_DIR"]
BINARY = os.path.join(os.environ["BUILD_DIR"], "buckthornmux")
OPERATOR = os.environ["OPERATOR_KEY"]
PORT = int(os.environ["HTTP_PORT"])
POLL_SECONDS = 0.02
children = {}
pids = [int(pid) for pid in os.environ["HOST_PIDS"].split()]


def call(port, path, key, method="GET", body=None, timeout=5):
    """Status and JSON of one call; status 0 where there is no answer."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(
        f"http://127.0.0.1:{port}{path}", data=data, method=method,
        headers={"Authorization": f"Bearer {key}"})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, json.loads(answer.read() or b"{}")
    except urllib.error.HTTPError as error:
        return error.code, json.loads(error.read() or b"{}")
    except (OSError, ValueError):
        return 0, {}


def wait_until(condition, limit=30.0):
    began = time.monotonic()
    while not condition():
        if time.monotonic() - began > limit:
            raise RuntimeError("state wanted was not reached")
        time.sleep(POLL_SECONDS)
    return time.monotonic() - began


def everywhere(condition):
    """Whether a condition holds at every entry host, asked side by side."""
    results = [False] * HOSTS

    def ask(index):
        results[index] = condition(PORT + index)

    threads = [threading.Thread(target=ask, args=(i,)) for i in range(HOSTS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return all(results)


def fleet(port=None):
    return call(PORT + HOSTS - 1 if port is None else port, "/v1/fleet", OPERATOR)[1]


def start_host(index):
    with open(f"{RUN_DIR}/host-{index}.out", "ab") as out:
        child = subprocess.Popen(
            [BINARY, "serve", "--settings", f"{RUN_DIR}/host-{index}.json"],
            stdout=out, stderr=out)
    children[index] = child
    pids[index] = child.pid
    wait_until(lambda: call(PORT + index, "/readyz", "")[0] == 200)


def has_ended(pid):
    """Whether a process of the script's shell is gone, or waits to be reaped."""
    try:
        with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
            return file.read().rsplit(")", 1)[1].split()[0] == "Z"
    except FileNotFoundError:
        return True


def reap(index):
    if index in children:
        return children.pop(index).wait()
    wait_until(lambda: has_ended(pids[index]))
    return 0


def all_owned(without):
    owners = fleet().get("owners", [])
    return bool(owners) and all(
        owner["owner"] and owner["owner"] != without for owner in owners)


def settle():
    wait_until(lambda: all_owned(None) and len(fleet()["members"]) == HOSTS)
    time.sleep(2)


def trial_withdraw():
    _, key = call(PORT, "/v1/keys", OPERATOR, "POST", {"team": "south", "who": "times"})
    wait_until(lambda: everywhere(
        lambda port: call(port, "/v1/jobs/none", key["key"])[0] == 404))
    began = time.monotonic()
    call(PORT, f"/v1/keys/{key['id']}?who=times", OPERATOR, "DELETE")
    wait_until(lambda: everywhere(
        lambda port: call(port, "/v1/jobs/none", key["key"])[0] == 401))
    return [time.monotonic() - began]


def trial_config(number):
    with open("samples/loopback/rules.json", encoding="utf-8") as file:
        rules = json.load(file)
    rules["teams"][2]["limit_slots"] = 20 + number
    path = f"{RUN_DIR}/times-rules.json"
    with open(path, "w", encoding="utf-8") as file:
        json.dump(rules, file)
    began = time.monotonic()
    subprocess.run(
        [BINARY, "apply", "--wait", "--who", "times", "--entry", f"127.0.0.1:{PORT}",
         f"{RUN_DIR}/inventory.json", path],
        check=True, capture_output=True,
        env={**os.environ, "BUCKTHORNMUX_KEY": OPERATOR})
    return [time.monotonic() - began]


def trial_kill(number):
    """Until every range of the killed owner has a living owner."""
    index = number % (HOSTS - 1)
    began = time.monotonic()
    os.kill(pids[index], signal.SIGKILL)
    wait_until(lambda: all_owned(f"host-{index}"))
    taken = time.monotonic() - began
    reap(index)
    start_host(index)
    settle()
    return [taken]


STAMP = re.compile(r"time=\S+T(\d+):(\d+):([\d.]+)Z event=(range_\w+) range=(\S+)")


def range_events():
    events = []
    for index in range(HOSTS):
        with open(f"{RUN_DIR}/host-{index}.out", encoding="utf-8") as file:
            for line in file:
                found = STAMP.search(line)
                if found:
                    hours, minutes, seconds, event, name = found.groups()
                    at = int(hours) * 3600 + int(minutes) * 60 + float(seconds)
                    events.append((at, event, name))
    return sorted(events)


def trial_stop(number):
    """Per range: from the release by its owner to the next owner's gain."""
    index = number % (HOSTS - 1)
    before = len(range_events())
    os.kill(pids[index], signal.SIGTERM)
    if reap(index) != 0:
        raise RuntimeError("not a graceful stop")
    wait_until(lambda: all_owned(f"host-{index}"))
    time.sleep(0.5)
    released, gaps = {}, []
    for at, event, name in range_events()[before:]:
        if event == "range_released":
            released[name] = at
        elif event == "range_gained" and name in released:
            gaps.append(at - released.pop(name))
    start_host(index)
    settle()
    return [max(gaps)] if gaps else []


def list_host(state):
    status, _ = call(int(os.environ["LIST_PORT"]), "/standin/hosts", "", "POST", state)
    if status != 200:
        raise RuntimeError(f"the host list answered {status}")


def log_of(target):
    return f"{RUN_DIR}/targets/t{target}.log"


def starts(target, since, offset):
    """Times of the starts in a target's own log, read from an offset."""
    times = []
    with open(log_of(target), encoding="utf-8") as file:
        file.seek(offset)
        for line in file:
            row = json.loads(line)
            if row["event"] == "start" and row["at"] / 1000 > since:
                times.append(row["at"] / 1000)
    return times


def trial_leaving(number):
    """Until the last start on a host that the platform lists as leaving: the
    one that got the most starts before."""
    stop = threading.Event()
    offsets = [os.path.getsize(log_of(target)) for target in range(TARGETS)]

    def load(worker):
        count = 0
        while not stop.is_set():
            count += 1
            call(PORT + worker % HOSTS, "/v1/jobs", os.environ["KEY"], "POST",
                 {"id": f"leave-{number}-{worker}-{count}", "kind": "check-in",
                  "idempotent": True, "deadline_ms": 5000,
                  "payload": json.dumps({"run_ms": 50, "echo": "l"})})

    workers = [threading.Thread(target=load, args=(i,)) for i in range(24)]
    for worker in workers:
        worker.start()
    time.sleep(1)
    began = time.time()
    busiest = max(range(TARGETS), key=lambda t: len(starts(t, began - 1, offsets[t])))
    if not starts(busiest, began - 1, offsets[busiest]):
        raise RuntimeError("no target had any start")
    state = {"host": f"h{busiest}", "state": "leaving"}
    began = time.time()
    list_host(state)
    time.sleep(4)
    stop.set()
    for worker in workers:
        worker.join()
    last = max((at - began for at in starts(busiest, began, offsets[busiest])),
               default=0.0)
    state["state"] = "live"
    list_host(state)
    time.sleep(2)
    return [last]


MEASURES = {
    "withdraw": (lambda n: trial_withdraw(), 3.0, "withdrawn key refused everywhere"),
    "config": (trial_config, 7.0, "configuration in force everywhere"),
    "leaving": (trial_leaving, 3.0, "leaving target without new work"),
    "kill": (trial_kill, 10.0, "ranges of a killed owner owned again"),
    "stop": (trial_stop, 1.0, "range of a stopped owner without an owner"),
}


def main():
    names = sys.argv[1:]
    if names == ["all"]:
        names = list(MEASURES)
    met = True
    for name in names:
        trial, target, text = MEASURES[name]
        taken = []
        for number in range(TRIALS):
            taken += trial(number)
        worst = max(taken)
        met = met and worst <= target
        print(f"{name}: {text}: trials {len(taken)}, median "
              f"{statistics.median(taken):.3f} s, worst {worst:.3f} s, target "
              f"{target:.0f} s, {'met' if worst <= target else 'NOT MET'}", flush=True)
    for index in list(children):
        os.kill(pids[index], signal.SIGTERM)
        reap(index)
    sys.exit(0 if met else 1)


main()
