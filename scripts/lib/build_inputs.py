"""Collects the files outside a checkout that its finished build has read.

Sources: CMake's file API and cache (configure), ninja's dependency log and
command lines (compile), and the linker's own trace (link). Results of CMake's
find commands that are kept out of the cache (NO_CACHE) show only where a
command line, a header or the linker uses them.
"""

import glob
import json
import os
import re
import shlex
import shutil
import subprocess
import tempfile

from debian_packages import Unreadable

# What a shell finds on a machine where nobody changed the search path.
CLEAN_PATH = "/usr/local/sbin:/usr/local/bin:/usr/sbin:/usr/bin:/sbin:/bin"
SHELL = "/bin/sh"
# The programs that the compiler driver starts.
COMPILER_STEPS = ("cc1plus", "collect2", "as", "ld")
FILE_API_QUERY = "cmakeFiles-v1"
# Cache entries that name a place to install to, not one to read from.
NEVER_READ = ("CMAKE_INSTALL_PREFIX",)
PATH_OPTION = re.compile(r"^(?:-I|-L|-isystem|-iquote|-B|--sysroot=|-Wl,-rpath,)?(/.*)$")


def clean_environment():
    return {"PATH": CLEAN_PATH, "HOME": os.environ.get("HOME", "/"), "LANG": "C"}


def run(arguments, directory):
    done = subprocess.run(arguments, cwd=directory, capture_output=True, text=True,
                          env=clean_environment())
    if done.returncode != 0:
        raise Unreadable(f"{shlex.join(arguments[:4])}: {done.stderr.strip()[-400:]}")
    return done.stdout


def request_file_api(build):
    """Asks CMake, before it configures, to list the files that it reads."""
    query = os.path.join(build, ".cmake/api/v1/query")
    os.makedirs(query)
    open(os.path.join(query, FILE_API_QUERY), "w").close()


def find_program(name):
    path = shutil.which(name, path=CLEAN_PATH)
    if path is None:
        raise Unreadable(f"program not found: {name}")
    return path


def configure_files(build):
    """Files that CMake included or read while it configured."""
    replies = glob.glob(os.path.join(build, ".cmake/api/v1/reply/cmakeFiles-v1-*.json"))
    if len(replies) != 1:
        raise Unreadable(f"{build}: no list of the files that CMake read")
    with open(replies[0]) as file:
        reply = json.load(file)
    files = [os.path.join(reply["paths"]["source"], entry["path"])
             for entry in reply["inputs"]]
    if not files:
        raise Unreadable(f"{build}: CMake lists no file")
    return files


def cached_paths(build):
    """Existing paths in CMake's cache: programs, libraries and folders found."""
    paths = []
    try:
        with open(os.path.join(build, "CMakeCache.txt")) as file:
            lines = file.read().splitlines()
    except OSError as error:
        raise Unreadable(f"{build}: CMakeCache.txt: {error.strerror}") from error
    for line in lines:
        entry = re.match(r"^([^#/=][^=]*):[A-Z]+=(.*)$", line)
        if entry is None or entry.group(1) in NEVER_READ:
            continue
        for value in re.split(r"[;\[\]]", entry.group(2)):
            paths += path_argument(value)
    if not paths:
        raise Unreadable(f"{build}: CMakeCache.txt holds no path")
    return paths


def path_argument(word):
    """The absolute path that a word or compiler option names, if it exists."""
    match = PATH_OPTION.match(word)
    return [match.group(1)] if match and os.path.exists(match.group(1)) else []


def split_commands(text):
    """Splits shell text into its simple commands, a list of words each."""
    commands = [[]]
    for word in shlex.split(text):
        if word in ("&&", "||", ";", "|"):
            commands.append([])
        else:
            commands[-1].append(word)
    return [command for command in commands if command and command[0] != ":"]


def build_commands(build, target):
    lines = run(["ninja", "-t", "commands", target], build).splitlines()
    commands = [command for line in lines for command in split_commands(line)]
    if not commands:
        raise Unreadable(f"{build}: ninja knows no command for {target}")
    return commands


def started_programs(commands):
    return [find_program(command[0]) for command in commands]


def argument_paths(commands):
    return [path for command in commands for word in command[1:]
            for path in path_argument(word)]


def output_of(command):
    return command[command.index("-o") + 1]


def compile_files(build, commands):
    """Sources and headers that the compiler has read, of each object."""
    recorded, current = {}, None
    for line in run(["ninja", "-t", "deps"], build).splitlines():
        if line.startswith(" "):
            recorded[current].append(os.path.join(build, line.strip()))
        elif line:
            current, _, state = line.partition(": ")
            recorded[current] = []
            if not state.endswith("(VALID)"):
                raise Unreadable(f"{build}: header list of {current}: {state}")
    objects = [output_of(c) for c in commands if "-c" in c and "-o" in c]
    if not objects:
        raise Unreadable(f"{build}: no compiled object")
    for name in objects:
        if not recorded.get(name):
            raise Unreadable(f"{build}: no header list of {name}")
    return [path for name in objects for path in recorded[name]]


def compiler_programs(commands):
    """The programs that each compiler driver starts in its turn."""
    programs = []
    for compiler in {c[0] for c in commands if "-c" in c}:
        for step in COMPILER_STEPS:
            answer = run([compiler, f"-print-prog-name={step}"], "/").strip()
            programs.append(find_program(answer))
    return programs


def link_files(build, commands, target):
    """Files that the linker opens, by its own trace of the same command."""
    links = [c for c in commands
             if "-o" in c and "-c" not in c and output_of(c) == target]
    if len(links) != 1:
        raise Unreadable(f"{build}: no link command of {target}")
    with tempfile.TemporaryDirectory() as directory:
        command = list(links[0])
        command[command.index("-o") + 1] = os.path.join(directory, "out")
        trace = run([*command, "-Wl,--trace"], build)
    files = re.findall(r"(?:^|\()(/[^()\n]+)", trace, re.MULTILINE)
    if not files:
        raise Unreadable(f"{build}: the linker's trace names no file")
    return files


def collect(checkout, build, target, build_text):
    """Returns rows of (kind, path) for each file or folder outside the checkout."""
    commands = build_commands(build, target)
    shell_commands = [[word for word in command if "=" not in word or word[0] == "-"]
                      for command in split_commands(build_text)]
    found = {
        "configure": configure_files(build) + cached_paths(build),
        "compile": compile_files(build, commands),
        "link": link_files(build, commands, target),
        "argument": argument_paths(shell_commands + commands),
        "tool": [SHELL] + started_programs(shell_commands + commands) +
                compiler_programs(commands),
    }
    inside = os.path.realpath(checkout) + os.sep
    rows = set()
    for kind, paths in found.items():
        for path in paths:
            if not (os.path.realpath(path) + os.sep).startswith(inside):
                rows.add((kind, path))
    return sorted(rows)
